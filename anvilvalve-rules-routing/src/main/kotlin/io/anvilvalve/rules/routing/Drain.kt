package io.anvilvalve.rules.routing

import io.anvilvalve.api.result.LogEvent
import kotlin.time.Duration

/** Planned stop: stay open until the balancer has noticed, close idle connections, let requests end, exit. */
internal class Drain(private val out: Outbox, private val limit: Duration) {
    private var startedAt: Duration? = null
    private var idleClosed = false
    private var exited = false

    val active: Boolean get() = startedAt != null

    /** Whether new requests are refused. */
    val refusesNew: Boolean get() = startedAt?.let { out.now - it >= REFUSAL_DELAY } == true

    fun start() {
        if (active) return
        startedAt = out.now
        out.log(LogEvent.DRAIN_STARTED, "limit_ms" to limit.inWholeMilliseconds)
        out.emit(RoutingEffect.Draining(closeIdle = false))
    }

    /** Moves on; [running] requests are open, and [onLimit] ends those that are left at the limit. */
    fun tick(running: Int, onLimit: () -> Unit) {
        val elapsed = out.now - (startedAt ?: return)
        if (exited || elapsed < RoutingTimes.BALANCER_DETECTION_TIME) return
        if (!idleClosed) {
            idleClosed = true
            out.emit(RoutingEffect.Draining(closeIdle = true))
        }
        if (elapsed >= limit - RoutingTimes.EXIT_MARGIN) {
            if (running > 0) out.log(LogEvent.DRAIN_DEADLINE_PASSED, "running" to running)
            onLimit()
            exit()
        } else if (running == 0 && refusesNew) {
            out.log(LogEvent.DRAIN_FINISHED, "after_ms" to elapsed.inWholeMilliseconds)
            exit()
        }
    }

    private fun exit() {
        exited = true
        out.emit(RoutingEffect.Exit)
    }

    private companion object {
        /** A while after idle connections were closed, for requests that were under way. */
        val REFUSAL_DELAY = RoutingTimes.BALANCER_DETECTION_TIME + RoutingTimes.EXIT_MARGIN
    }
}
