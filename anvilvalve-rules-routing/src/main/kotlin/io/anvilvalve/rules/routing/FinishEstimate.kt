package io.anvilvalve.rules.routing

import kotlin.time.Duration

/** Estimates whether requests end before a host that drains must exit. */
internal class FinishEstimate(private val drain: Drain) {
    private val answerTimes = AnswerTimes()

    /** Records that the answer of [request] was complete [elapsed] after the call that asked for it. */
    fun record(request: LiveRequest, elapsed: Duration) = answerTimes.record(request, elapsed)

    /**
     * Whether [request], whose answer is requested after [wait], is expected to end before this host must exit. A request
     * that will probably end in time is better started than refused while few other hosts are ready, or if it was
     * refused before.
     */
    fun canFinish(request: LiveRequest, wait: Duration = Duration.ZERO): Boolean {
        if (!drain.active) return true
        val expected = answerTimes.expected(request, cautious = drain.canOthersServe && !request.isCallerRetry)
        return drain.canFinish(wait + expected, request.isStream)
    }

    /** Whether [request], whose prompt has been processed, can still be refused and is expected to be cut off. */
    fun isTooLate(request: LiveRequest): Boolean {
        if (!drain.active || !request.isUntouched) return false
        return !drain.canFinish(answerTimes.expected(request, cautious = false), stream = false)
    }
}
