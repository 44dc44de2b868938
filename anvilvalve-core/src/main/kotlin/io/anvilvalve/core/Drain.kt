package io.anvilvalve.core

import io.anvilvalve.api.result.LogEvent
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Planned shutdown: reports not ready and keeps accepting requests until the load balancer reacts, then refuses new
 * requests, waits for the running ones, releases its limit slots, leaves the fleet and exits.
 *
 * The host exits [EXIT_DELAY] after it has left, so that peers read its departure in the log before its connections
 * close.
 */
internal class Drain(private val out: Outbox) {
    enum class Step {
        NONE,

        /** Readiness is off and new requests are still accepted. */
        GRACE,

        /** New requests are refused; running requests continue. */
        AWAITING_REQUESTS,

        /** No request is running; the host releases its limit slots and leaves the fleet. */
        LEAVING,

        /** The log shows that the host has left, or [LEAVE_TIMEOUT] has passed. */
        LEFT,
    }

    var step = Step.NONE
        private set

    private var stepEnteredAt = Duration.ZERO
    private var deadlineAt = Duration.ZERO
    private var exited = false

    val active: Boolean get() = step != Step.NONE
    val refusesNewRequests: Boolean get() = step >= Step.AWAITING_REQUESTS

    fun start(deadline: Duration) {
        if (active) return
        step = Step.GRACE
        stepEnteredAt = out.now
        deadlineAt = out.now + deadline
        out.log(LogEvent.DRAIN_STARTED, "deadline" to deadline)
    }

    /**
     * Advances to the next step when its condition is met.
     *
     * @param running number of unfinished requests.
     * @param cancels number of unconfirmed cancels.
     * @param onDeadline called if requests are still running at the deadline.
     * @param onLeaving called on entering [Step.LEAVING].
     */
    fun tick(running: Int, cancels: Int, onDeadline: () -> Unit, onLeaving: () -> Unit) {
        when (step) {
            Step.NONE -> Unit
            Step.GRACE -> if (out.now - stepEnteredAt >= GRACE_PERIOD) enter(Step.AWAITING_REQUESTS)
            Step.AWAITING_REQUESTS -> awaitRequests(running, cancels, onDeadline, onLeaving)
            Step.LEAVING -> if (out.now - stepEnteredAt >= LEAVE_TIMEOUT) left()
            Step.LEFT -> exitAfterDelay()
        }
    }

    fun left() {
        if (step == Step.LEAVING) enter(Step.LEFT)
    }

    private fun awaitRequests(running: Int, cancels: Int, onDeadline: () -> Unit, onLeaving: () -> Unit) {
        val idle = running == 0 && cancels == 0
        val deadlinePassed = out.now >= deadlineAt
        if (!idle && !deadlinePassed) return
        if (running > 0) {
            out.log(LogEvent.DRAIN_DEADLINE_PASSED, "running" to running)
            onDeadline()
        }
        enter(Step.LEAVING)
        onLeaving()
    }

    private fun exitAfterDelay() {
        if (exited || out.now - stepEnteredAt < EXIT_DELAY) return
        exited = true
        out.log(LogEvent.DRAIN_FINISHED)
        out.emit(HostEffect.Exit(clean = true))
    }

    private fun enter(next: Step) {
        step = next
        stepEnteredAt = out.now
    }

    companion object {
        val GRACE_PERIOD = 3.seconds
        val EXIT_DELAY = 2.seconds

        /** A host that cannot append its leaving record stops waiting after this time; its peers then remove it. */
        val LEAVE_TIMEOUT = 10.seconds
    }
}
