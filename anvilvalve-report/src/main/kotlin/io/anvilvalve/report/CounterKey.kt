package io.anvilvalve.report

/** Identity of a counter within one host; a label that the metric does not have is empty. */
internal data class CounterKey(val measure: Measure, val organisation: String, val model: String)
