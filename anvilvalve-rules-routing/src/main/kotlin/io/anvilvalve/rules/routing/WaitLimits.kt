package io.anvilvalve.rules.routing

import kotlin.time.Duration

/** Limits on the wait of a request, from its objective, its deadline, its caller's patience and the service times. */
internal class WaitLimits(private val times: ServiceTimes) {
    /**
     * Latest time of the call at which the answer is likely to meet the objective. Only answers that take less than a
     * quarter of the objective get the full margin, because the margin also shortens the time that a request may wait.
     */
    fun objectiveLimit(request: QueuedRequest): Duration {
        val start = times.start(request)
        val longest = (request.objectiveAt - request.arrivedAt) * LARGEST_MARGIN_SHARE
        return request.objectiveAt - maxOf(start * LEAST_OBJECTIVE_MARGIN, minOf(start * OBJECTIVE_MARGIN, longest))
    }

    /** Latest time of the call at which the answer is still of use; a request that waits longer is refused. */
    fun latestStart(request: QueuedRequest): Duration = minOf(
        request.deadlineAt - times.answer(request),
        request.patienceEndsAt - times.start(request) * PATIENCE_MARGIN,
    )

    private companion object {
        /** Service times vary; three of four exponentially distributed times are below 1.5 times their mean. */
        const val LEAST_OBJECTIVE_MARGIN = 1.5

        /**
         * Under load, most requests start shortly before their limit. At servers of speed 0.7, 0.7 and 1.7 whose times vary
         * by half, 0.22 of the answers take longer than 1.5 times the mean, and 0.07 longer than twice the mean.
         */
        const val OBJECTIVE_MARGIN = 2.0
        const val LARGEST_MARGIN_SHARE = 0.5

        /** A caller that leaves wastes the whole answer, so more of the varying times must fit. */
        const val PATIENCE_MARGIN = 2.0
    }
}
