package io.anvilvalve.report

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Counters of one host at [atMillis] (Unix time in ms); [counters] is null if the host could not be read. */
@Serializable
internal data class Sample(
    @SerialName("at_ms") val atMillis: Long,
    val host: String,
    val counters: List<Counter>? = null,
) {
    companion object {
        /** Extracts the counters of the report from Prometheus text, summed over labels such as class and code. */
        fun of(atMillis: Long, host: String, metrics: String): Sample {
            val sums = LinkedHashMap<CounterKey, Double>()
            for (line in PrometheusText.parse(metrics)) {
                val measure = Measure.of(line) ?: continue
                val key = CounterKey(measure, line.labels["organisation"].orEmpty(), line.labels["model"].orEmpty())
                if (line.value.isFinite()) sums.merge(key, line.value, Double::plus)
            }
            val counters = sums.map { (key, value) -> Counter(key.measure, key.organisation, key.model, value) }
            return Sample(atMillis, host, counters)
        }
    }
}
