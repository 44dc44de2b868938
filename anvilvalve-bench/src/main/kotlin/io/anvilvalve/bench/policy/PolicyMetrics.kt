package io.anvilvalve.bench.policy

/** Computes the policy metrics over the requests that arrived between the warm-up and the cool-down. */
internal class PolicyMetrics(
    private val workload: Workload,
    private val capacity: Capacity,
    private val load: Double,
    arrivals: List<Request>,
) {
    private val window = workload.warmupMicros..<workload.durationMicros - workload.cooldownMicros
    private val counted = arrivals.filter { it.arrivedAt in window }
    private val seconds = (window.last - window.first) / MICROS_PER_SECOND

    fun goodput(): Double = counted.filter { it.good }.sumOf { it.cost }

    fun goodputRatio(): Double = ratio(goodput(), counted.sumOf { it.cost })

    fun worstOrganisationRatio(): Double {
        val fairShares = workload.models.map { fairShareTokens(it) }
        return workload.organisations.minOf { organisation ->
            val good = counted.filter { it.good && it.organisation === organisation }.sumOf { it.cost }
            ratio(good, fairShares.sumOf { it.getValue(organisation.name) })
        }
    }

    fun refusedWithinRateRatio(): Double {
        val within = counted.filter { load * it.organisation.rateFactor <= 1.0 }
        return ratio(within.count { it.refused }.toDouble(), within.size.toDouble())
    }

    /**
     * Max-min fair shares in token cost of the organisations in the pool of [model], by their demand.
     *
     * The shares divide the capacity of the pool. In overload they divide what the pool delivered in time, so that the
     * metric measures how the work was divided and not how much was delivered.
     */
    private fun fairShareTokens(model: String): Map<String, Double> {
        val demands = workload.organisations.associate { organisation ->
            val offered = counted.filter { it.spec.model == model && it.organisation === organisation }
            organisation.name to offered.sumOf { it.cost }
        }
        val capacityTokens = capacity.tokenRate(model) * seconds
        val delivered = counted.filter { it.good && it.spec.model == model }.sumOf { it.cost }
        var remaining = if (demands.values.sum() <= capacityTokens) capacityTokens else minOf(capacityTokens, delivered)
        val shares = HashMap<String, Double>()
        demands.entries.sortedBy { it.value }.forEachIndexed { index, (name, demand) ->
            val share = minOf(demand, remaining / (demands.size - index))
            shares[name] = share
            remaining -= share
        }
        return shares
    }

    companion object {
        /** [part] divided by [whole], limited to 0..1; 0 if [whole] is not positive. */
        fun ratio(part: Double, whole: Double): Double = if (whole <= 0.0) 0.0 else (part / whole).coerceIn(0.0, 1.0)
    }
}
