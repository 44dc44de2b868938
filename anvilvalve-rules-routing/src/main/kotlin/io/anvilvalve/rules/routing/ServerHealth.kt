package io.anvilvalve.rules.routing

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** What this host has seen of one backend server. */
internal class ServerHealth(firstEstimate: Duration) {
    private var consecutiveUnreachable = 0
    private var ejectedUntil = Duration.ZERO

    /** Share of failed calls, recent ones weighing most. */
    var failureShare = 0.0
        private set

    /** Calls that have ended. */
    var samples = 0
        private set

    /** Mean time of a unit of work: of a call to a plain service, or of a thousand tokens in an engine. */
    var serviceTime: Duration = firstEstimate
        private set

    /** Whether no call may be sent at [now]. */
    fun isEjected(now: Duration): Boolean = now < ejectedUntil

    /** Whether the last try to connect failed and is recent. */
    fun isUnreachable(now: Duration): Boolean = consecutiveUnreachable > 0 && now < ejectedUntil

    fun succeeded() {
        consecutiveUnreachable = 0
        record(0.0)
    }

    /** The backend server was reached and failed; several failures without a success close it for a moment. */
    fun failed(now: Duration) {
        record(1.0)
        if (failureShare > EJECTION_SHARE && samples >= MIN_SAMPLES) eject(now, FIRST_EJECTION)
    }

    /** No connection could be made, or another backend server has the address. */
    fun unreachable(now: Duration) {
        eject(now, minOf(FIRST_EJECTION * (1 shl consecutiveUnreachable.coerceAtMost(MAX_DOUBLINGS)), MAX_EJECTION))
        consecutiveUnreachable++
    }

    /** Has no room now. */
    fun rejected(now: Duration) = eject(now, CAPACITY_EJECTION)

    fun recordServiceTime(elapsed: Duration) {
        serviceTime = serviceTime * (1 - SAMPLE_WEIGHT) + elapsed * SAMPLE_WEIGHT
    }

    private fun record(failure: Double) {
        samples++
        failureShare = failureShare * (1 - SAMPLE_WEIGHT) + failure * SAMPLE_WEIGHT
    }

    private fun eject(now: Duration, time: Duration) {
        ejectedUntil = maxOf(ejectedUntil, now + time)
    }

    private companion object {
        /** Weight of the newest sample: about the last ten count. */
        const val SAMPLE_WEIGHT = 0.15
        const val MIN_SAMPLES = 4
        const val EJECTION_SHARE = 0.6
        const val MAX_DOUBLINGS = 3
        val FIRST_EJECTION = 500.milliseconds
        val MAX_EJECTION = 3.seconds

        /** Long enough for a few steps of an engine to free memory. */
        val CAPACITY_EJECTION = 100.milliseconds
    }
}
