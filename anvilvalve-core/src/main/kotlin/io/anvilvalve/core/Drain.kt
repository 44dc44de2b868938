package io.anvilvalve.core

import io.anvilvalve.api.result.LogEvent
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Planned stop: stay open while the balancer notices, then refuse new work, wait for the rest, hand over, exit.
 *
 * The host exits [EXIT_DELAY] after it has left, so that peers learn of it from the log before its connections close.
 */
internal class Drain(private val out: Outbox) {
    enum class Step {
        NONE,

        /** Readiness is off and new requests are still accepted. */
        GRACE,

        /** New requests are refused and running ones go on. */
        AWAITING_REQUESTS,

        /** Nothing runs; the host gives up its slots and leaves. */
        LEAVING,

        /** The log shows that the host has left, or the deadline has passed. */
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

    /** Moves on; [running] requests and [cancels] are still to end. Calls back on entering a step. */
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

        /** A host that cannot append its leaving record stops after this time; its peers then remove it. */
        val LEAVE_TIMEOUT = 10.seconds
    }
}
