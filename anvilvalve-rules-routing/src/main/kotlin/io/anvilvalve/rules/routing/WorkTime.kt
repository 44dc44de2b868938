package io.anvilvalve.rules.routing

import kotlin.math.abs
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.pow
import kotlin.math.sign
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Time that a backend server needs for a unit of work: the usual time, and for a short time what the latest units
 * differ from it by more than chance.
 *
 * A server that has become slow gets little work, so the latest units would tell forever that it is slow.
 */
internal class WorkTime(firstEstimate: Duration) {
    private var usual = firstEstimate
    private var latest = firstEstimate
    private var latestAt: Duration? = null

    /** The first estimate counts as one unit. */
    private var units = 1

    fun record(now: Duration, elapsed: Duration) {
        units++
        val since = latestAt?.let { now - it } ?: Duration.ZERO
        latestAt = now
        val first = 1.0 / units
        usual = mean(usual, elapsed, maxOf(first, (since / USUAL_PERIOD).coerceAtMost(MAX_USUAL_WEIGHT)))
        latest = mean(latest, elapsed, maxOf(first, LATEST_WEIGHT))
    }

    /** The expected time of a unit that starts at [now]. */
    fun at(now: Duration): Duration {
        val age = latestAt?.let { now - it } ?: return usual
        if (age >= FORGOTTEN_AFTER || usual <= Duration.ZERO || latest <= Duration.ZERO) return usual * trust(age)
        val change = ln(latest / usual)
        val beyondChance = (abs(change) - CHANCE).coerceAtLeast(0.0) * sign(change)
        val weight = ((FORGOTTEN_AFTER - age) / (FORGOTTEN_AFTER - KEPT_FOR)).coerceAtMost(1.0)
        return if (beyondChance == 0.0) usual else usual * exp(beyondChance * weight)
    }

    /**
     * Part of the usual time that is expected of a server without a unit for [age]. Without load, a server that seems
     * slower than another gets no calls, and its time would not be measured again.
     */
    private fun trust(age: Duration): Double {
        val unused = age - maxOf(TRUSTED_FOR, usual * TRUSTED_UNITS)
        return if (unused <= Duration.ZERO) 1.0 else 0.5.pow(unused / TRUST_HALF_LIFE).coerceAtLeast(LEAST_TRUST)
    }

    private fun mean(mean: Duration, value: Duration, weight: Double) = mean * (1 - weight) + value * weight

    private companion object {
        /** About the last ten units determine the latest time. */
        const val LATEST_WEIGHT = 0.15

        /** Units of this period determine the usual time; a slow phase of some seconds must not become the usual. */
        val USUAL_PERIOD = 20.seconds

        /** A server with little work must not count as slow for long because of a few slow calls. */
        const val MAX_USUAL_WEIGHT = 0.03

        /** With exponential times, the latest time is off by less than this factor (1.5) in five of six cases. */
        const val CHANCE = 0.4
        val KEPT_FOR = 1.seconds
        val FORGOTTEN_AFTER = 3.seconds
        val TRUSTED_FOR = 5.seconds

        /** An engine that gives long answers is measured less often. */
        const val TRUSTED_UNITS = 4
        val TRUST_HALF_LIFE = 2.seconds
        const val LEAST_TRUST = 0.02
    }
}
