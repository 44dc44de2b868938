package io.anvilvalve.rules.routing

import io.anvilvalve.api.routing.Backend
import kotlin.math.ceil
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Time for which a slot of a plain server would stand empty between two calls if no call waited at the server.
 *
 * Answers the load at which calls queue at a coordinator although servers have free slots: the end of a call must reach
 * the coordinator, and the next call the server, before the slot is used again.
 */
internal class Turnaround {
    private var grantOverhead = Duration.ZERO

    /** Records that a grant was held [overhead] longer than its call took at the host. */
    fun record(overhead: Duration) {
        val sample = overhead.coerceIn(Duration.ZERO, MAX_OVERHEAD)
        grantOverhead = grantOverhead * (1 - SAMPLE_WEIGHT) + sample * SAMPLE_WEIGHT
    }

    /**
     * Calls that may wait at [server] beyond its slots, so that its slots stay in use while it takes [callTime] for a
     * call. At least one, and at most one a slot, because a call that waits there cannot be moved to another server.
     */
    fun waitingCalls(server: Backend, callTime: Duration): Int {
        val empty = grantOverhead * CROSSINGS
        return ceil(server.slots * (empty / callTime)).toInt().coerceIn(1, maxOf(server.slots, 1))
    }

    private companion object {
        const val SAMPLE_WEIGHT = 0.05

        /** The end of a call and the next call cross the network between hosts, and that to the server, once each. */
        const val CROSSINGS = 2

        /** A host that was frozen or cut off says nothing about the others. */
        val MAX_OVERHEAD = 200.milliseconds
    }
}
