package io.anvilvalve.rules.routing

import io.anvilvalve.api.result.LogEvent
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Graceful shutdown: keeps serving until the balancer has detected that the host is not ready, then closes idle
 * connections. Once no request is in flight it accepts no more connections, and it exits when the last one is closed or
 * just before [limit].
 *
 * Requests that can end before the limit are served throughout: while all hosts of a data centre stop in short order,
 * the balancer sends callers to hosts that are not ready.
 */
internal class Drain(private val out: Outbox, private val limit: Duration) {
    private var startedAt: Duration? = null
    private var detectionTime = Duration.ZERO
    private var accepting = true
    private var limitPassed = false
    private var exited = false

    val active: Boolean get() = startedAt != null

    /**
     * Starts the shutdown. A host that was never [announced] as ready need not wait for the balancer; the platform has
     * stopped it during its start, and more of the limit may have passed than the host can know.
     */
    fun start(announced: Boolean) {
        if (active) return
        startedAt = out.now
        if (announced) detectionTime = RoutingTimes.BALANCER_DETECTION_TIME
        out.log(
            LogEvent.DRAIN_STARTED,
            "limit_ms" to limit.inWholeMilliseconds,
            "uptime_ms" to out.now.inWholeMilliseconds,
        )
        out.emit(RoutingEffect.Draining)
    }

    /**
     * Whether a request that is expected to end after [time] may be started. A [stream] takes much longer than expected
     * if the caller underestimates its length, so none starts after [LAST_STREAM_DELAY].
     */
    fun canFinish(time: Duration, stream: Boolean): Boolean {
        val elapsed = out.now - (startedAt ?: return true)
        return elapsed + time <= limit - RoutingTimes.EXIT_MARGIN && (!stream || elapsed < LAST_STREAM_DELAY)
    }

    /**
     * Advances the shutdown. [inFlight] is the number of requests in flight; [onLimit] ends those that remain shortly
     * before the limit.
     */
    fun tick(inFlight: Int, onLimit: () -> Unit) {
        val elapsed = out.now - (startedAt ?: return)
        if (exited || elapsed < detectionTime) return
        if (!limitPassed && elapsed >= limit - RoutingTimes.EXIT_MARGIN) {
            limitPassed = true
            if (inFlight > 0) out.log(LogEvent.DRAIN_DEADLINE_PASSED, "running" to inFlight)
            onLimit()
        }
        if (limitPassed || inFlight == 0) accepting = false
        if (elapsed >= limit - RoutingTimes.EXIT_MARGIN + ANSWER_TIME) {
            exit()
        } else {
            out.emit(RoutingEffect.CloseConnections(MIN_IDLE_TIME, accepting))
        }
    }

    /** Exits if no connection is open and none can be opened. */
    fun connectionsCounted(event: RoutingEvent.ConnectionsCounted, inFlight: Int) {
        if (exited || event.accepting || event.open > 0 || inFlight > 0) return
        out.log(LogEvent.DRAIN_FINISHED, "after_ms" to (out.now - (startedAt ?: return)).inWholeMilliseconds)
        exit()
    }

    private fun exit() {
        exited = true
        out.emit(RoutingEffect.Exit)
    }

    private companion object {
        /** Longer than the balancer needs to detect that the host is not ready, and to use another one. */
        val LAST_STREAM_DELAY = RoutingTimes.BALANCER_DETECTION_TIME + 400.milliseconds

        /** On a busy host the first request on a new connection is read some 100 ms after the connection is opened. */
        val MIN_IDLE_TIME = 200.milliseconds

        /** Time to write the answers of the requests that the limit ended. */
        val ANSWER_TIME = 200.milliseconds
    }
}
