package io.anvilvalve.rules.routing

import kotlin.math.abs
import kotlin.math.ln
import kotlin.math.pow
import kotlin.math.sqrt

/**
 * Distribution of positive values in some 200 bytes, weighted towards the recent ones.
 *
 * It starts anew when the latest values differ clearly from the earlier ones, because a mean would then describe
 * neither.
 */
internal class CostDistribution {
    private val counts = FloatArray(BUCKETS)
    private val latest = FloatArray(LATEST)
    private var logMean = 0.0
    private var logVariance = 0.0
    private var position = 0

    /** Number of values since the start or the latest reset. */
    var samples = 0
        private set
    var mean = 0.0
        private set

    /** Adds [value], which counts as 1 if it is less; returns whether the distribution started anew. */
    fun add(value: Double): Boolean {
        val positive = value.coerceAtLeast(1.0)
        latest[next()] = positive.toFloat()
        include(positive)
        if (samples < MIN_SAMPLES_TO_COMPARE || !hasChanged()) return false
        restart()
        return true
    }

    /** The value that [share] of the recent values do not exceed, interpolated within a counter; 0 without values. */
    fun quantile(share: Double): Double {
        val target = counts.sum() * share
        var below = 0.0
        for (bucket in counts.indices) {
            val count = counts[bucket]
            if (count > 0 && below + count >= target) return 2.0.pow(bucket + (target - below) / count)
            below += count
        }
        return 0.0
    }

    private fun include(value: Double) {
        samples++
        val weight = maxOf(1.0 / samples, SAMPLE_WEIGHT)
        mean += weight * (value - mean)
        val log = ln(value)
        val difference = log - logMean
        logMean += weight * difference
        logVariance = (1 - weight) * (logVariance + weight * difference * difference)
        for (bucket in counts.indices) counts[bucket] *= COUNT_DECAY
        counts[(log / LN_2).toInt().coerceAtMost(BUCKETS - 1)] += 1f
    }

    private fun hasChanged(): Boolean {
        var sum = 0.0
        for (value in latest) sum += ln(value.toDouble())
        val error = sqrt(logVariance / LATEST)
        return abs(sum / LATEST - logMean) > maxOf(MIN_CHANGE, CHANGE_ERRORS * error)
    }

    private fun restart() {
        samples = 0
        mean = 0.0
        logMean = 0.0
        logVariance = 0.0
        counts.fill(0f)
        repeat(LATEST) { include(latest[(position + it) % LATEST].toDouble()) }
    }

    private fun next(): Int = position.also { position = (position + 1) % LATEST }

    private companion object {
        /** Counters for values up to 2, 4, 8 and so on; the last one holds all values from 2^19. */
        const val BUCKETS = 20

        /** Number of the latest values that are compared with the earlier ones, and that remain after a reset. */
        const val LATEST = 8
        const val MIN_SAMPLES_TO_COMPARE = 2 * LATEST
        const val SAMPLE_WEIGHT = 0.03
        const val COUNT_DECAY = 0.97f

        /** A change of less than a half is followed by the weights alone. */
        const val MIN_CHANGE = 0.4

        /** With four standard errors, some 1 in 10,000 comparisons of unchanged values resets. */
        const val CHANGE_ERRORS = 4.0
        val LN_2 = ln(2.0)
    }
}
