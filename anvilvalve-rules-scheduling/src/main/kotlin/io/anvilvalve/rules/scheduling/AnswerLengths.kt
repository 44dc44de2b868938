package io.anvilvalve.rules.scheduling

import kotlin.math.ln
import kotlin.math.pow

/**
 * Estimated answer-length distribution of one model and work class, kept as the probability per token that a running
 * answer ends.
 *
 * The bins grow geometrically. A finished answer counts in every bin that it passed through, and the weight of older
 * answers decays exponentially.
 */
internal class AnswerLengths {
    private val endCounts = DoubleArray(BINS)
    private val passedTokens = DoubleArray(BINS)
    private var observations = 0

    /** Records an answer that ended after [tokens] tokens. */
    fun observe(tokens: Int) {
        observations++
        val last = bin(tokens)
        for (bin in 0..last) {
            passedTokens[bin] *= DECAY
            endCounts[bin] *= DECAY
            passedTokens[bin] += if (bin < last) width(bin) else (tokens - start(bin)).coerceAtLeast(1.0)
        }
        endCounts[last] += 1.0
    }

    /**
     * Probability that an answer of [tokens] tokens so far ends with its next token; 0 until [MIN_OBSERVATIONS] answers
     * have been recorded.
     */
    fun endProbability(tokens: Int): Double {
        if (observations < MIN_OBSERVATIONS) return 0.0
        val bin = bin(tokens)
        return if (passedTokens[bin] > 0.0) endCounts[bin] / passedTokens[bin] else 0.0
    }

    private fun bin(tokens: Int): Int =
        (ln(tokens.coerceAtLeast(1) / FIRST_WIDTH + 1.0) / LN_FACTOR).toInt().coerceAtMost(BINS - 1)

    private fun start(bin: Int): Double = STARTS[bin]

    private fun width(bin: Int): Double = STARTS[bin + 1] - STARTS[bin]

    private companion object {
        const val BINS = 32
        const val FIRST_WIDTH = 16.0
        const val FACTOR = 1.25
        const val DECAY = 0.995
        const val MIN_OBSERVATIONS = 50
        val LN_FACTOR = ln(FACTOR)
        val STARTS = DoubleArray(BINS + 1) { FIRST_WIDTH * (FACTOR.pow(it) - 1.0) }
    }
}
