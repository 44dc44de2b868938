package io.anvilvalve.host

import io.anvilvalve.api.id.ModelId
import io.anvilvalve.api.peer.WorkClass
import io.anvilvalve.api.result.ResultCode
import io.anvilvalve.core.RequestSummary
import io.prometheus.metrics.core.metrics.Counter
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.core.metrics.Histogram
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.io.ByteArrayOutputStream
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/** Prometheus metrics of one host, in its own registry so that several hosts can share a process. */
internal class HostMetrics(state: HostState, clients: ClientMeasures, running: () -> Int) {
    private val registry = PrometheusRegistry()
    private val writer = PrometheusTextFormatWriter.create()

    private val requests =
        counter("anvilvalve_requests", "Finished requests.", "organisation", "model", "class", "code")
    private val goodRequests =
        counter("anvilvalve_good_requests", "Requests that met both latency targets.", "organisation", "model", "class")
    private val prefilled = counter("anvilvalve_prefill_tokens", "Prompt tokens prefilled.", "model")
    private val wasted = counter("anvilvalve_wasted_prefill_tokens", "Prefilled prompt tokens not decoded.", "model")
    private val refusedWithinRate =
        counter("anvilvalve_refused_within_rate", "Refusals although within the rate.", "organisation")
    private val firstToken =
        histogram("anvilvalve_first_token_seconds", "Time to the first token.", FIRST_TOKEN_BOUNDS_S)
    private val gap = histogram("anvilvalve_token_gap_seconds", "Mean time between tokens per request.", GAP_BOUNDS_S)

    init {
        clients.register(registry)
        gauge("anvilvalve_running_requests", "Open requests of callers.") { running().toDouble() }
        gauge("anvilvalve_current", "1 while the host has recent evidence.") { if (state.status.current) 1.0 else 0.0 }
        gauge("anvilvalve_applied_offset", "Last applied log offset.") { state.status.appliedOffset.value.toDouble() }
        gauge("anvilvalve_release", "Release in force.") { state.status.release.value.toDouble() }
    }

    /** Counts a finished request. */
    fun count(summary: RequestSummary) {
        val organisation = summary.organisation?.value ?: NONE
        val model = if (summary.organisation == null || summary.code in unknownNameCodes) NONE else summary.model.value
        val workClass = summary.workClass.name.lowercase()
        requests.labelValues(organisation, model, workClass, summary.code?.code ?: "ok").inc()
        if (summary.metLatencyTargets()) goodRequests.labelValues(organisation, model, workClass).inc()
        if (summary.prefillTokens > 0) prefilled.labelValues(model).inc(summary.prefillTokens.toLong())
        if (summary.wastedPrefillTokens > 0) wasted.labelValues(model).inc(summary.wastedPrefillTokens.toLong())
        if (summary.refusedWithinRate) refusedWithinRate.labelValues(organisation).inc()
        summary.firstToken?.let {
            firstToken.labelValues(organisation, model).observe(it.toDouble(DurationUnit.SECONDS))
        }
        summary.meanGap?.let { gap.labelValues(organisation, model).observe(it.toDouble(DurationUnit.SECONDS)) }
    }

    /** Counts a request that was refused before its organisation and model were known. */
    fun countRefusal(code: ResultCode) = count(RequestSummary(null, ModelId(NONE), WorkClass.INTERACTIVE, code))

    /** Returns all metrics in the Prometheus text exposition format. */
    fun expose(): ByteArray {
        val out = ByteArrayOutputStream()
        writer.write(out, registry.scrape())
        return out.toByteArray()
    }

    private fun RequestSummary.metLatencyTargets(): Boolean {
        val first = firstToken ?: return false
        return code == null && first <= FIRST_TOKEN_TARGET && (meanGap == null || meanGap!! <= GAP_TARGET)
    }

    private fun counter(name: String, help: String, vararg labels: String): Counter =
        Counter.builder().name(name).help(help).labelNames(*labels).register(registry)

    private fun histogram(name: String, help: String, bounds: DoubleArray): Histogram = Histogram.builder()
        .name(name)
        .help(help)
        .labelNames("organisation", "model")
        .classicOnly()
        .classicUpperBounds(*bounds)
        .register(registry)

    private fun gauge(name: String, help: String, value: () -> Double): GaugeWithCallback =
        GaugeWithCallback.builder().name(name).help(help).callback { it.call(value()) }.register(registry)

    companion object {
        const val CONTENT_TYPE = PrometheusTextFormatWriter.CONTENT_TYPE

        /** Label value for an unknown organisation or model, so that callers cannot create label values. */
        private const val NONE = "none"
        private val unknownNameCodes = setOf(ResultCode.UNKNOWN_MODEL, ResultCode.UNKNOWN_ROUTE)

        private val FIRST_TOKEN_TARGET = 1_500.milliseconds
        private val GAP_TARGET = 0.028.seconds
        private val FIRST_TOKEN_BOUNDS_S = doubleArrayOf(0.05, 0.1, 0.25, 0.5, 1.0, 1.5, 2.5, 5.0, 10.0, 30.0)
        private val GAP_BOUNDS_S = doubleArrayOf(0.005, 0.01, 0.015, 0.02, 0.028, 0.04, 0.06, 0.1, 0.25, 1.0)
    }
}
