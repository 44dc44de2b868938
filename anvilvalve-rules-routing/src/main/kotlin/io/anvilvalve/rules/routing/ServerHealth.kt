package io.anvilvalve.rules.routing

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Health of one backend server as observed by this host. A server that fails is ejected: it gets no calls for some
 * time.
 */
internal class ServerHealth(firstEstimate: Duration) {
    private var consecutiveUnreachable = 0
    private var ejectedUntil = Duration.ZERO
    private var rejectedAt: Duration? = null

    /** Share of failed calls, weighted towards recent ones. */
    var failureShare = 0.0
        private set

    /** Time of the latest success, at this or another host; null if there was none. */
    var succeededAt: Duration? = null
        private set

    /** Number of recorded successes and failures. */
    var samples = 0
        private set

    private val workTime = WorkTime(firstEstimate)

    /**
     * Time of a unit of work at [now]: a call to a plain service, 1,000 tokens at a prefill engine, or an answer of a
     * decode engine.
     */
    fun serviceTime(now: Duration): Duration = workTime.at(now)

    /** Whether no call may be sent at [now]. */
    fun isEjected(now: Duration): Boolean = now < ejectedUntil

    /** Whether the server was unreachable in the latest call and is still ejected. */
    fun isUnreachable(now: Duration): Boolean = consecutiveUnreachable > 0 && now < ejectedUntil

    fun succeeded(now: Duration) {
        consecutiveUnreachable = 0
        succeededAt = now
        record(0.0)
    }

    /**
     * Records a failure of a reachable server; several failures without a success eject it for [FIRST_EJECTION].
     *
     * @param leastShare lowest share of failed calls at another server of the service; null if there is no other.
     * Requests that fail wherever they run raise the share of all servers, so a server is ejected only if it fails
     * clearly more often than that one.
     */
    fun failed(now: Duration, leastShare: Double?) {
        record(1.0)
        if (leastShare == null || failureShare - leastShare <= EJECTION_EXCESS) return
        if (failureShare > EJECTION_SHARE && samples >= MIN_SAMPLES) eject(now, FIRST_EJECTION)
    }

    /** Records that the connection failed, or that another backend server uses the address. */
    fun unreachable(now: Duration) {
        eject(now, minOf(FIRST_EJECTION * (1 shl consecutiveUnreachable.coerceAtMost(MAX_DOUBLINGS)), MAX_EJECTION))
        consecutiveUnreachable++
    }

    /** Records that the server had no capacity for a call. */
    fun rejected(now: Duration) {
        rejectedAt = now
        eject(now, CAPACITY_EJECTION)
    }

    /** Whether the server had no capacity for a call within [REJECTION_MEMORY]. */
    fun rejectedRecently(now: Duration): Boolean = rejectedAt?.let { now - it < REJECTION_MEMORY } == true

    fun recordServiceTime(now: Duration, elapsed: Duration) = workTime.record(now, elapsed)

    private fun record(failure: Double) {
        samples++
        failureShare = failureShare * (1 - SAMPLE_WEIGHT) + failure * SAMPLE_WEIGHT
    }

    private fun eject(now: Duration, time: Duration) {
        ejectedUntil = maxOf(ejectedUntil, now + time)
    }

    private companion object {
        /** Weight of the newest sample; about the last ten samples determine the mean. */
        const val SAMPLE_WEIGHT = 0.15
        const val MIN_SAMPLES = 4
        const val EJECTION_SHARE = 0.6

        /** Shares over about ten calls differ by up to three times 0.13 between equal servers. */
        const val EJECTION_EXCESS = 0.4
        const val MAX_DOUBLINGS = 3
        val FIRST_EJECTION = 500.milliseconds
        val MAX_EJECTION = 3.seconds

        /** Long enough for an engine to free memory within a few steps. */
        val CAPACITY_EJECTION = 100.milliseconds

        /** The queue of a server is as short after a burst as in it; only other causes of a refusal end. */
        val REJECTION_MEMORY = 30.seconds
    }
}
