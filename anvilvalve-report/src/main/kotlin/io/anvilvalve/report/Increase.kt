package io.anvilvalve.report

/** Growth of a counter, of any host, that was seen at [atMillis]. */
internal data class Increase(val atMillis: Long, val key: CounterKey, val amount: Double)
