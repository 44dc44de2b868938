package io.anvilvalve.core

import io.anvilvalve.api.result.LogEvent
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Planned stop: stay open while the balancer notices, then refuse new work, wait for the rest, hand over, exit.
 *
 * The host exits [LINGER] after it has left, so that peers learn of it from the log before its connections close.
 */
internal class Drain(private val out: Outbox) {
    enum class Step {
        NONE,

        /** Readiness is off and new requests are still accepted. */
        GRACE,

        /** New requests are refused and running ones go on. */
        RUNNING_OUT,

        /** Nothing runs; the host gives up its slots and leaves. */
        LEAVING,

        /** The log shows that the host has left, or the deadline has passed. */
        LEFT,
    }

    var step = Step.NONE
        private set

    private var since = Duration.ZERO
    private var deadlineAt = Duration.ZERO
    private var exited = false

    val active: Boolean get() = step != Step.NONE
    val refusesNew: Boolean get() = step >= Step.RUNNING_OUT

    fun start(deadline: Duration) {
        if (active) return
        step = Step.GRACE
        since = out.now
        deadlineAt = out.now + deadline
        out.log(LogEvent.DRAIN_STARTED, "deadline" to deadline)
    }

    /** Moves on; [running] requests and [cancels] are still to end. Calls back on entering a step. */
    fun tick(running: Int, cancels: Int, onDeadline: () -> Unit, onLeaving: () -> Unit) {
        when (step) {
            Step.NONE -> Unit
            Step.GRACE -> if (out.now - since >= GRACE) enter(Step.RUNNING_OUT)
            Step.RUNNING_OUT -> runOut(running, cancels, onDeadline, onLeaving)
            Step.LEAVING -> if (out.now - since >= LEAVE_LIMIT) left()
            Step.LEFT -> exitAfterLinger()
        }
    }

    fun left() {
        if (step == Step.LEAVING) enter(Step.LEFT)
    }

    private fun runOut(running: Int, cancels: Int, onDeadline: () -> Unit, onLeaving: () -> Unit) {
        val idle = running == 0 && cancels == 0
        val late = out.now >= deadlineAt
        if (!idle && !late) return
        if (running > 0) {
            out.log(LogEvent.DRAIN_DEADLINE_PASSED, "running" to running)
            onDeadline()
        }
        enter(Step.LEAVING)
        onLeaving()
    }

    private fun exitAfterLinger() {
        if (exited || out.now - since < LINGER) return
        exited = true
        out.log(LogEvent.DRAIN_FINISHED)
        out.emit(HostEffect.Exit(clean = true))
    }

    private fun enter(next: Step) {
        step = next
        since = out.now
    }

    companion object {
        val GRACE = 3.seconds
        val LINGER = 2.seconds

        /** A host that cannot append its leaving record stops after this time; its peers then remove it. */
        val LEAVE_LIMIT = 10.seconds
    }
}
