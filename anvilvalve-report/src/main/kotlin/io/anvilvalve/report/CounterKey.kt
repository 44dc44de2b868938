package io.anvilvalve.report

/** Identity of a counter within one host; an empty label means that the metric lacks it. */
internal data class CounterKey(val measure: Measure, val organisation: String, val model: String)
