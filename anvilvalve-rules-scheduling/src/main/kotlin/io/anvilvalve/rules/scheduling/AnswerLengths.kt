package io.anvilvalve.rules.scheduling

import kotlin.math.ln
import kotlin.math.pow

/**
 * Learned distribution of answer lengths of one model and class, as the chance per token that a running answer ends.
 *
 * Bins are geometric; each finished answer counts in the bins that it passed through, and older answers weigh less.
 */
internal class AnswerLengths {
    private val endCounts = DoubleArray(BINS)
    private val passedTokens = DoubleArray(BINS)
    private var observations = 0

    /** Takes in that an answer ended after [tokens] tokens. */
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

    /** Chance that an answer that has [tokens] tokens ends with its next one; 0 until enough was seen. */
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
