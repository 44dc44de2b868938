package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.peer.SharedServerState
import io.anvilvalve.api.result.LogEvent
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * What backend servers state about their present speed and load, in answers to this host and to others.
 *
 * The speed changes many times a second, so that a statement loses its effect within [VALIDITY].
 */
internal class ServerSlowness(private val out: Outbox, private val loads: ServerLoads) {
    private class State {
        var percent = USUAL
        var at: Duration = -VALIDITY
        var requests = 0

        /** Requests at the server beyond those that the loads contained when it stated them. */
        var excess = 0
        var excessAt: Duration = -VALIDITY
        var isUnusual = false
        var isPending = false
        var isLogged = false
        var loggedAt: Duration = -LOG_INTERVAL
    }

    private val states = HashMap<BackendServerId, State>()

    /** Records that [server] stated [load] in an answer that has just arrived. */
    fun reported(server: BackendServerId, load: ReportedLoad) {
        val state = states.getOrPut(server, ::State)
        val requests = (load.running.toLong() + load.waiting).coerceIn(0, MAX_REQUESTS).toInt()
        update(server, state, load.slownessPercent.toDouble(), requests, out.now)
        // Servers in their usual state are not reported, except once after another state.
        val isUnusual = requests > load.slots || load.slownessPercent !in USUAL_RANGE
        if (isUnusual || state.isUnusual) state.isPending = true
        state.isUnusual = isUnusual
    }

    /** Applies [shared] states that another host reports; older ones than the known ones are ignored. */
    fun applyReport(shared: List<SharedServerState>) = shared.forEach { report ->
        val state = states.getOrPut(report.server, ::State)
        val at = out.now - report.ageMillis.coerceAtLeast(0).milliseconds
        if (at >= state.at) update(report.server, state, report.slownessPercent.toDouble(), report.requests, at)
    }

    /** Statements of servers to this host since the last call, the latest of each server, for other hosts. */
    fun drain(): List<SharedServerState> {
        val due = states.entries.filter { it.value.isPending }.take(MAX_SHARED)
        return due.map { (server, state) ->
            state.isPending = false
            val age = (out.now - state.at).inWholeMilliseconds.toInt()
            SharedServerState(server, state.percent.toInt(), state.requests, age)
        }
    }

    /** Present duration of work at [server] as a multiple of the usual one; 1 if it has not stated it recently. */
    fun factor(server: BackendServerId): Double {
        val state = states[server] ?: return 1.0
        return 1 + (state.percent / USUAL - 1) * weight(out.now - state.at)
    }

    /** Requests at [server] that the loads do not contain, as far as the server has recently stated it. */
    fun excess(server: BackendServerId): Int {
        val state = states[server]?.takeIf { it.excess > 0 } ?: return 0
        return (state.excess * weight(out.now - state.excessAt)).toInt()
    }

    /** Time since the latest statement of [server]; null if there was none. */
    fun age(server: BackendServerId): Duration? = states[server]?.let { out.now - it.at }

    fun retain(known: Set<BackendServerId>) = states.keys.retainAll(known)

    private fun update(server: BackendServerId, state: State, percent: Double, requests: Int, at: Duration) {
        val limited = percent.coerceIn(MIN_PERCENT, MAX_PERCENT)
        val isRecent = at - state.at < SMOOTHED_TIME
        state.percent = if (isRecent) state.percent + (limited - state.percent) * SAMPLE_WEIGHT else limited
        state.at = at
        state.requests = requests
        // The loads contain the starts and ends of calls since an older statement, which does not.
        if (out.now - at <= MAX_REQUESTS_AGE) {
            state.excess = (requests - loads.requests(server)).coerceAtLeast(0)
            state.excessAt = at
        }
        logChange(server, state)
    }

    private fun logChange(server: BackendServerId, state: State) {
        val isSlow = state.percent >= if (state.isLogged) SLOW_ENDED else SLOW_STARTED
        if (isSlow == state.isLogged || out.now - state.loggedAt < LOG_INTERVAL) return
        state.isLogged = isSlow
        state.loggedAt = out.now
        out.log(
            LogEvent.SERVER_SLOWNESS_CHANGED,
            "server" to server,
            "slow" to isSlow,
            "slowness_percent" to state.percent.toInt(),
            "requests_stated" to state.requests,
            "requests_known" to loads.requests(server),
        )
    }

    /** Full weight for half of [VALIDITY], which then decreases to nothing. */
    private fun weight(age: Duration) = (2 - 2 * (age / VALIDITY)).coerceIn(0.0, 1.0)

    companion object {
        /** Age from which a statement has no effect. */
        val VALIDITY: Duration = 1_200.milliseconds
        private const val USUAL = 100.0

        /** Differences within this range change no choice. */
        private val USUAL_RANGE = 90..110
        private const val MIN_PERCENT = 20.0
        private const val MAX_PERCENT = 2_000.0
        private const val MAX_REQUESTS = 100_000L

        /** Statements within this time are averaged, so that a single one does not move all requests. */
        private val SMOOTHED_TIME = 200.milliseconds
        private const val SAMPLE_WEIGHT = 0.5
        private val MAX_REQUESTS_AGE = 30.milliseconds

        /** Limits a message; there are up to 40 servers. */
        private const val MAX_SHARED = 40
        private const val SLOW_STARTED = 200.0
        private const val SLOW_ENDED = 130.0
        private val LOG_INTERVAL = 1.seconds
    }
}
