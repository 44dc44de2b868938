package io.anvilvalve.rules.routing

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Expected time of a call at a backend server, in milliseconds, and what it was computed from.
 *
 * @property queueMillis wait for a free slot at the server.
 * @property serviceMillis time for the work itself, at the present speed of the server.
 * @property distanceMillis price of the way to the server.
 * @property isFar whether the server is in another region.
 * @property slowness present duration of work at the server as a multiple of the usual one.
 * @property slownessAge time since the server stated it; null if it never did.
 */
internal class ExpectedFinish(
    val queueMillis: Double,
    val serviceMillis: Double,
    val distanceMillis: Double,
    val isFar: Boolean,
    val slowness: Double,
    val slownessAge: Duration?,
) {
    val totalMillis: Double get() = queueMillis + serviceMillis + distanceMillis

    /** The part of the [elapsed] time of a call that was work, and not way or wait for a slot. */
    fun workTime(elapsed: Duration): Duration {
        val wayMillis = if (isFar) Distances.REGION_ROUND_TRIP_MILLIS else 0.0
        val atServer = (elapsed - wayMillis.milliseconds).coerceAtLeast(elapsed / MIN_DIVISOR)
        return if (queueMillis <= 0) atServer else atServer * (serviceMillis / (queueMillis + serviceMillis))
    }

    /** Fields for the log. */
    fun fields(): Array<Pair<String, Any?>> = arrayOf(
        "expected_ms" to totalMillis.toInt(),
        "queue_ms" to queueMillis.toInt(),
        "service_ms" to serviceMillis.toInt(),
        "distance_ms" to distanceMillis.toInt(),
        "slowness_percent" to (slowness * PERCENT).toInt(),
        "slowness_age_ms" to slownessAge?.inWholeMilliseconds,
    )

    private companion object {
        const val PERCENT = 100

        /** A call that was faster than a usual round trip to its region has at least a quarter of its time as work. */
        const val MIN_DIVISOR = 4
    }
}
