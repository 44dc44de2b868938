package io.anvilvalve.report

/** Sum of [increases] by measure. */
internal class Totals(increases: Iterable<Increase>) {
    private val sums = DoubleArray(Measure.entries.size).also { sums ->
        increases.forEach { sums[it.key.measure.ordinal] += it.amount }
    }

    operator fun get(measure: Measure): Double = sums[measure.ordinal]

    /**
     * Returns the burn rate of the error budget of [target]: 1 uses the budget up exactly, the maximum is 20.
     *
     * Returns null if no answers were counted.
     */
    fun burn(target: Target): Double? {
        val total = get(target.total)
        if (total <= 0) return null
        // A restart can hide growth of one of the two counters, so that they differ by a few answers.
        val missed = (total - get(target.met)).coerceIn(0.0, total)
        return missed / total / Target.ERROR_BUDGET
    }

    /** Returns [part] as a share of [whole], or null if [whole] is zero. */
    fun share(part: Measure, whole: Measure): Double? = get(whole).takeIf { it > 0 }?.let { get(part) / it }
}
