package io.anvilvalve.report

/** Growth of a counter on one host, observed in the sample taken at [atMillis]. */
internal data class Increase(val atMillis: Long, val key: CounterKey, val amount: Double)
