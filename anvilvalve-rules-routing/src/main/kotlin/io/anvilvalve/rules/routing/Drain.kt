package io.anvilvalve.rules.routing

import io.anvilvalve.api.result.LogEvent
import kotlin.time.Duration

/**
 * Graceful shutdown: keeps serving until the balancer has detected that the host is not ready, closes idle connections,
 * then refuses new requests, and exits when none is in flight or just before [limit].
 */
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
        out.log(
            LogEvent.DRAIN_STARTED,
            "limit_ms" to limit.inWholeMilliseconds,
            "uptime_ms" to out.now.inWholeMilliseconds,
        )
        out.emit(RoutingEffect.Draining(closeIdle = false))
    }

    /**
     * Advances the shutdown. [inFlight] is the number of requests in flight; [onLimit] ends those that remain shortly
     * before the limit.
     */
    fun tick(inFlight: Int, onLimit: () -> Unit) {
        val elapsed = out.now - (startedAt ?: return)
        if (exited || elapsed < RoutingTimes.BALANCER_DETECTION_TIME) return
        if (!idleClosed) {
            idleClosed = true
            out.emit(RoutingEffect.Draining(closeIdle = true))
        }
        if (elapsed >= limit - RoutingTimes.EXIT_MARGIN) {
            if (inFlight > 0) out.log(LogEvent.DRAIN_DEADLINE_PASSED, "running" to inFlight)
            onLimit()
            exit()
        } else if (inFlight == 0 && refusesNew) {
            out.log(LogEvent.DRAIN_FINISHED, "after_ms" to elapsed.inWholeMilliseconds)
            exit()
        }
    }

    private fun exit() {
        exited = true
        out.emit(RoutingEffect.Exit)
    }

    private companion object {
        /**
         * Time from the start of the drain until new requests are refused. Idle connections are closed
         * [RoutingTimes.EXIT_MARGIN] earlier, so that requests already in transit are still served.
         */
        val REFUSAL_DELAY = RoutingTimes.BALANCER_DETECTION_TIME + RoutingTimes.EXIT_MARGIN
    }
}
