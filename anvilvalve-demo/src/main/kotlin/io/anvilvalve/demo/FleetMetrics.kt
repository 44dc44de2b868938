package io.anvilvalve.demo

import java.util.Locale

/** Sums the metrics of all hosts: goodput, wasted prefill, worst-served organisation and refusals within rate. */
internal class FleetMetrics {
    private val sums = mutableMapOf<String, Double>()

    /** Adds the samples of one host's `/metrics` page. */
    fun add(metrics: String) = metrics.lineSequence().filter { it.isNotBlank() && !it.startsWith('#') }.forEach {
        sums.merge(it.substringBeforeLast(' '), it.substringAfterLast(' ').toDoubleOrNull() ?: 0.0, Double::plus)
    }

    fun render(): List<String> {
        val requests = sum("anvilvalve_requests_total")
        val good = sum("anvilvalve_good_requests_total")
        val prefilled = sum("anvilvalve_prefill_tokens_total")
        val wasted = sum("anvilvalve_wasted_prefill_tokens_total")
        return listOf(
            "requests that met both targets: %.0f of %.0f finished, cancelled and refused ones included"
                .format(Locale.ROOT, good, requests),
            "wasted prefill: %.0f of %.0f tokens".format(Locale.ROOT, wasted, prefilled),
            "worst-served organisation: ${worstServed()}",
            "refused within rate: %.0f".format(Locale.ROOT, sum("anvilvalve_refused_within_rate_total")),
        )
    }

    private fun worstServed(): String = DemoRelease.tenants.map { it.organisation.id }.describeWorst { organisation ->
        val label = "organisation=\"$organisation\""
        val total = sum("anvilvalve_first_token_seconds_count", label)
        val met = sum("anvilvalve_first_token_seconds_bucket", label, "le=\"1.5\"")
        if (total > 0) met / total else 1.0
    }

    private fun <T> List<T>.describeWorst(ratio: (T) -> Double): String {
        val worst = minByOrNull(ratio) ?: return "-"
        return "%s, first token within 1.5 s for %.1f%%".format(Locale.ROOT, worst, ratio(worst) * PERCENT)
    }

    private fun sum(name: String, vararg labels: String): Double =
        sums.filterKeys { key -> key.substringBefore('{') == name && labels.all { it in key } }.values.sum()

    private companion object {
        const val PERCENT = 100
    }
}
