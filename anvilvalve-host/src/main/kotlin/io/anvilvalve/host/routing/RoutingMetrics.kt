package io.anvilvalve.host.routing

import io.anvilvalve.api.result.LogEvent
import io.anvilvalve.host.ClientMeasures
import io.anvilvalve.rules.routing.RequestOutcome
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream
import kotlin.time.DurationUnit

/**
 * Prometheus metrics of a routing host.
 *
 * @param more registers the metrics of other parts.
 */
internal class RoutingMetrics(
    running: () -> Int,
    ready: () -> Boolean,
    clients: ClientMeasures,
    more: (PrometheusRegistry) -> Unit = {},
) {
    private val registry = PrometheusRegistry()
    private val writer = PrometheusTextFormatWriter.create()

    private val requests: Counter = Counter.builder()
        .name("anvilvalve_routed_requests")
        .help("Finished requests.")
        .labelNames("route", "organisation", "code")
        .register(registry)
    private val events: Counter = Counter.builder()
        .name("anvilvalve_routing_events")
        .help("Log events of the routing rules.")
        .labelNames("event")
        .register(registry)
    private val refusals: Counter = Counter.builder()
        .name("anvilvalve_capacity_refusals")
        .help("Requests refused for lack of capacity, by the limit that their wait would have exceeded.")
        .labelNames("route", "organisation", "reason")
        .register(registry)
    private val queued = histogram("anvilvalve_queued_seconds", "Time to the first call to a backend server.")
    private val answerStarted = histogram("anvilvalve_answer_started_seconds", "Time to the head of the answer.")
    private val requestDuration = histogram("anvilvalve_answer_ended_seconds", "Time to the end of the request.")

    private val expected = histogram("anvilvalve_call_expected_seconds", "Expected time of the last call of a request.")
    private val farCalls: Counter = Counter.builder()
        .name("anvilvalve_calls_to_other_regions")
        .help("Requests whose last call went to a backend server in another region.")
        .labelNames("route")
        .register(registry)

    init {
        clients.register(registry)
        more(registry)
        gauge("anvilvalve_running_requests", "Open requests of callers.") { running().toDouble() }
        gauge("anvilvalve_ready", "1 while the balancer is told that the host is ready.") { if (ready()) 1.0 else 0.0 }
    }

    /** Records the outcome and the times of a finished request. */
    fun record(outcome: RequestOutcome) {
        val route = outcome.route ?: NONE
        requests.labelValues(route, outcome.organisation?.value ?: NONE, outcome.code?.code ?: "ok").inc()
        outcome.refusal?.let { refusals.labelValues(route, outcome.organisation?.value ?: NONE, it.text).inc() }
        outcome.queued?.let { queued.labelValues(route).observe(it.toDouble(DurationUnit.SECONDS)) }
        outcome.started?.let { answerStarted.labelValues(route).observe(it.toDouble(DurationUnit.SECONDS)) }
        outcome.expected?.let { expected.labelValues(route).observe(it.toDouble(DurationUnit.SECONDS)) }
        if (outcome.isFar) farCalls.labelValues(route).inc()
        requestDuration.labelValues(route).observe(outcome.lasted.toDouble(DurationUnit.SECONDS))
    }

    /** Counts a log event of the routing rules. */
    fun record(event: LogEvent) = events.labelValues(event.name).inc()

    /** Text of the Prometheus exposition format. */
    fun expose(): ByteArray = ByteArrayOutputStream().also { writer.write(it, registry.scrape()) }.toByteArray()

    private fun histogram(name: String, help: String): Histogram = Histogram.builder()
        .name(name)
        .help(help)
        .labelNames("route")
        .classicOnly()
        .classicUpperBounds(*BUCKET_BOUNDS_SECONDS)
        .register(registry)

    private fun gauge(name: String, help: String, value: () -> Double): GaugeWithCallback =
        GaugeWithCallback.builder().name(name).help(help).callback { it.call(value()) }.register(registry)

    private companion object {
        const val NONE = "none"
        val BUCKET_BOUNDS_SECONDS = doubleArrayOf(0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.9, 1.5, 3.0, 5.0, 10.0)
    }
}
