package io.anvilvalve.rules.routing

import kotlin.time.Duration

/**
 * A waiting [request] with its cost and its limits at the time when it was queued.
 *
 * @property work memory in tokens for engines, 1 for a call.
 * @property lateAt time from which the request cannot be expected to meet its objective.
 * @property latestStartAt time from which the answer is of no use to the caller.
 */
internal class QueueEntry(
    val request: QueuedRequest,
    val work: Int,
    val lateAt: Duration,
    val latestStartAt: Duration,
) {
    /** Distinguishes entries that are equal in the order; the earlier entry goes first. */
    val number: Long get() = request.queueNumber

    /** Whether the request might have met its objective if it had been placed on arrival. */
    val couldBePunctual: Boolean get() = lateAt > request.arrivedAt
}
