package io.anvilvalve.report

/** One sample line of the Prometheus text format. */
internal data class MetricLine(val name: String, val labels: Map<String, String>, val value: Double)
