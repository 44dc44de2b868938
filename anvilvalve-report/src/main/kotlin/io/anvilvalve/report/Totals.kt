package io.anvilvalve.report

/** Growth of all measures over some time. */
internal class Totals(increases: Iterable<Increase>) {
    private val sums = DoubleArray(Measure.entries.size).also { sums ->
        increases.forEach { sums[it.key.measure.ordinal] += it.amount }
    }

    operator fun get(measure: Measure): Double = sums[measure.ordinal]

    /**
     * Returns the rate at which the error budget of [target] is used: 1 uses it up exactly, 20 is the most.
     *
     * Null when there was no answer to judge.
     */
    fun burn(target: Target): Double? {
        val total = get(target.total)
        if (total <= 0) return null
        // Growth that a restart hid can make the two counters differ by a few answers.
        val missed = (total - get(target.met)).coerceIn(0.0, total)
        return missed / total / Target.ERROR_BUDGET
    }

    /** Returns [part] as a share of [whole]; null when there is no whole. */
    fun share(part: Measure, whole: Measure): Double? = get(whole).takeIf { it > 0 }?.let { get(part) / it }
}
