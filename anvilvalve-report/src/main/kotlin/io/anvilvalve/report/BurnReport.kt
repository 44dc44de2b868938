package io.anvilvalve.report

/**
 * Burn of all organisations and models at [atMillis].
 *
 * Burn is the rate at which an error budget is used, relative to the rate that uses it up exactly.
 *
 * @property services burn by service, most urgent first.
 * @property fleet totals over all services and hosts, by window.
 * @property refusals requests refused although within rate, by organisation and window.
 * @property history burn of the fleet and of each service in five-minute steps over the last six hours.
 * @property unreachable hosts whose newest sample could not be read.
 */
internal class BurnReport(
    val atMillis: Long,
    val services: List<ServiceBurn>,
    val fleet: Map<Window, Totals>,
    val refusals: Map<String, Map<Window, Double>>,
    val history: BurnHistory,
    val hosts: Int,
    val unreachable: List<String>,
) {
    companion object {
        /** Computes the report from [samples]; ignores samples taken after [atMillis]. */
        fun of(samples: List<Sample>, atMillis: Long): BurnReport {
            val relevant = samples.filter { it.atMillis <= atMillis }
            val increases = increases(relevant)
            val newest = relevant.groupBy { it.host }.mapValues { (_, all) -> all.maxBy { it.atMillis } }
            return BurnReport(
                atMillis = atMillis,
                services = services(increases, atMillis),
                fleet = byWindow(increases, atMillis),
                refusals = refusals(increases, atMillis),
                history = BurnHistory.of(increases, atMillis),
                hosts = newest.size,
                unreachable = newest.values.filter { it.counters == null }.map { it.host }.sorted(),
            )
        }

        private fun services(increases: List<Increase>, atMillis: Long): List<ServiceBurn> =
            increases.filter { it.key.organisation.isNotEmpty() && it.key.model.isNotEmpty() }
                .groupBy { ServiceKey(it.key.organisation, it.key.model) }
                .map { (key, group) -> ServiceBurn(key, byWindow(group, atMillis)) }
                .sortedWith(compareByDescending<ServiceBurn> { it.state }.thenByDescending { it.maxBurn })

        private fun refusals(increases: List<Increase>, atMillis: Long): Map<String, Map<Window, Double>> =
            increases.filter { it.key.measure == Measure.REFUSED_WITHIN_RATE }
                .groupBy { it.key.organisation }
                .mapValues { (_, group) ->
                    byWindow(group, atMillis).mapValues { (_, totals) -> totals[Measure.REFUSED_WITHIN_RATE] }
                }

        private fun byWindow(increases: List<Increase>, atMillis: Long): Map<Window, Totals> =
            Window.entries.associateWith { window ->
                val from = atMillis - window.length.inWholeMilliseconds
                Totals(increases.filter { it.atMillis > from && it.atMillis <= atMillis })
            }
    }
}
