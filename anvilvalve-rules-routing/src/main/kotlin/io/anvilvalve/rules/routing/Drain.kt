package io.anvilvalve.rules.routing

import io.anvilvalve.api.result.LogEvent
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Graceful shutdown: keeps serving until the balancer has detected that the host is not ready, then closes idle
 * connections. Once no request is in flight it accepts no more connections, and it exits when the last one is closed or
 * just before [limit].
 *
 * If all hosts stop in short order, the balancer sends callers to hosts that are not ready. Therefore requests that can
 * end before the limit are served throughout, and a host waits with its exit while less than [MIN_SERVING_SHARE] of the
 * hosts serve, or none that its callers are sent to. Hosts whose limit comes first exit first.
 */
internal class Drain(private val out: Outbox, private val limit: Duration, private val peers: Peers) {
    private var startedAt: Duration? = null
    private var announced = false
    private var lastArrivalAt: Duration? = null
    private var accepting = true
    private var wasEmpty = false
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
        this.announced = announced
        out.log(
            LogEvent.DRAIN_STARTED,
            "limit_ms" to limit.inWholeMilliseconds,
            "uptime_ms" to out.now.inWholeMilliseconds,
        )
        out.emit(RoutingEffect.Draining)
    }

    /** Records that a request arrived. */
    fun requestArrived() {
        lastArrivalAt = out.now
    }

    /** Whether callers refused by this host will probably be served by another one at once. */
    val canOthersServe: Boolean get() = peers.readyCount > peers.size * MOST

    /** Time after which a refused caller should return: at once if another host is ready, else after a restart. */
    val retryAfter: Duration get() = if (peers.readyCount > 0) Duration.ZERO else RESTART_TIME

    /**
     * Whether a request that is expected to end after [time] may be started. A [stream] takes much longer than expected
     * if the caller underestimates its length, so none starts after [LAST_STREAM_DELAY].
     */
    fun canFinish(time: Duration, stream: Boolean): Boolean {
        val elapsed = out.now - (startedAt ?: return true)
        return !exited && out.now + time <= endsAt && (!stream || elapsed < LAST_STREAM_DELAY)
    }

    /** Whether callers still come to this host, and too few others serve them. */
    private val isNeeded: Boolean
        get() {
            val quiet = lastArrivalAt?.let { out.now - it >= QUIET_TIME } != false
            if (!announced || quiet) return false
            val serving = peers.servingAfter(endsAt)
            // While no host is ready, the balancer sends callers to the hosts of their data centre.
            val isReplaced = peers.readyCount > 0 || serving.any { it.dataCentre == peers.self.dataCentre }
            return !isReplaced || serving.size < MIN_SERVING_SHARE * (peers.size + 1)
        }

    private val endsAt: Duration get() = (startedAt ?: Duration.ZERO) + limit - RoutingTimes.EXIT_MARGIN

    /** Time for which this host accepts connections at most; null if it does not stop. */
    val acceptingTime: Duration? get() = startedAt?.let { if (accepting) endsAt - out.now else Duration.ZERO }

    /**
     * Advances the shutdown. [inFlight] is the number of requests in flight; [onLimit] ends those that remain shortly
     * before the limit.
     */
    fun tick(inFlight: Int, onLimit: () -> Unit) {
        val elapsed = out.now - (startedAt ?: return)
        if (exited || (announced && elapsed < RoutingTimes.BALANCER_DETECTION_TIME)) return
        if (!limitPassed && out.now >= endsAt) {
            limitPassed = true
            if (inFlight > 0) out.log(LogEvent.DRAIN_DEADLINE_PASSED, "running" to inFlight)
            onLimit()
        }
        if (limitPassed || (inFlight == 0 && !isNeeded)) accepting = false
        if (out.now >= endsAt + ANSWER_TIME) {
            exit()
        } else {
            out.emit(RoutingEffect.CloseConnections(MIN_IDLE_TIME, accepting))
        }
    }

    /**
     * Exits if no connection is open and none can be opened. A connection that was accepted just before the port was
     * closed is counted a moment later, so two counts must agree.
     */
    fun connectionsCounted(event: RoutingEvent.ConnectionsCounted, inFlight: Int) {
        val isEmpty = !event.accepting && event.open == 0 && inFlight == 0
        val wasEmptyBefore = wasEmpty
        wasEmpty = isEmpty
        if (exited || !isEmpty || !wasEmptyBefore) return
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

        /** Time until the first of several hosts that stop together is likely to be ready again. */
        val RESTART_TIME = 3_000.milliseconds

        const val MOST = 0.5

        /** Enough hosts for the usual load, and few enough that the others can restart meanwhile. */
        const val MIN_SERVING_SHARE = 0.4

        /** The balancer sends callers to hosts that are not ready while this host receives requests at least so often. */
        val QUIET_TIME = 2_000.milliseconds

        /** On a busy host the first request on a new connection is read some 100 ms after the connection is opened. */
        val MIN_IDLE_TIME = 200.milliseconds

        /** Time to write the answers of the requests that the limit ended. */
        val ANSWER_TIME = 200.milliseconds
    }
}
