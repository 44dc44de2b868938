package io.anvilvalve.host

import io.prometheus.metrics.core.metrics.CounterWithCallback
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.model.registry.PrometheusRegistry

/** Metrics of the limits on clients. */
internal class ClientMeasures(
    private val reports: LimitReports,
    private val budget: ByteBudget,
    private val connections: () -> Int,
) {
    fun register(registry: PrometheusRegistry) {
        CounterWithCallback.builder()
            .name("anvilvalve_client_limits")
            .help("Clients that a limit refused or disconnected.")
            .labelNames("limit")
            .callback { counter ->
                ClientLimit.entries.forEach { counter.call(reports.count(it).toDouble(), it.label) }
            }
            .register(registry)
        gauge(registry, "anvilvalve_held_bytes", "Bytes of bodies and answers that are held.") { budget.usedBytes }
        gauge(registry, "anvilvalve_open_connections", "Open connections of callers.") { connections() }
    }

    private fun gauge(registry: PrometheusRegistry, name: String, help: String, value: () -> Number) {
        GaugeWithCallback.builder().name(name).help(help).callback { it.call(value().toDouble()) }.register(registry)
    }
}
