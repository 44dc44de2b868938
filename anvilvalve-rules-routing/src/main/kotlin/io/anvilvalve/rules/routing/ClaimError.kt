package io.anvilvalve.rules.routing

import kotlin.math.ln

/**
 * Error of callers' claims of output tokens: the distribution of ln(actual / claimed).
 *
 * Claims are right at the median and often far off, so the logarithm is about symmetric.
 */
internal class ClaimError {
    private var samples = PRIOR_SAMPLES

    var mean = 0.0
        private set
    var variance = PRIOR_VARIANCE
        private set

    /** Whether any claim has been compared with its answer. */
    val isMeasured: Boolean get() = samples > PRIOR_SAMPLES

    fun add(actual: Int, claimed: Int) {
        val error = ln(actual.coerceAtLeast(1).toDouble() / claimed).coerceIn(-MAX_ERROR, MAX_ERROR)
        samples++
        val weight = maxOf(1.0 / samples, SAMPLE_WEIGHT)
        val difference = error - mean
        mean += weight * difference
        variance = (1 - weight) * (variance + weight * difference * difference)
    }

    companion object {
        /** Variance that is assumed before claims are measured: two of three are off by less than a factor of 1.65. */
        const val PRIOR_VARIANCE = 0.25
        private const val PRIOR_SAMPLES = 4
        private const val SAMPLE_WEIGHT = 0.03

        /** A claim that is off by more than a factor of 16 says nothing about the size of the error of others. */
        private val MAX_ERROR = ln(16.0)
    }
}
