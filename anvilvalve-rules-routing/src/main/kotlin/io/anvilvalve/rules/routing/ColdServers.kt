package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.result.LogEvent
import io.anvilvalve.api.routing.Backend
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Limits the requests to cold backend servers, which crash under more than they tolerate.
 *
 * Each host counts what it selects itself, for its own requests and as coordinator for those of others, against its part
 * of the server's budget (see [ColdShares]). No message is needed to stay within the budget.
 *
 * @param tolerated requests a second that cold servers of a service tolerate; 0 if its servers are never cold.
 */
internal class ColdServers(
    private val out: Outbox,
    private val times: ColdTimes,
    private val shares: ColdShares,
    private val terms: ColdTerms,
    private val tolerated: (Backend) -> Double,
) : ServerRule {
    private class Count(val window: Duration) {
        val requests = SlidingWindowCounter(window)
        var loggedAt: Duration? = null
    }

    private val counts = HashMap<BackendServerId, Count>()

    override val limitsRate: Boolean get() = true

    override fun allows(server: Backend, need: PlacementNeed?): Boolean {
        if (!isLimited(server)) return true
        val count = count(server)
        val allowance = allowance(server)
        val isAllowed = count.requests.sum(out.now) + 1 <= allowance
        if (!isAllowed) log(server, count, allowance)
        return isAllowed
    }

    override fun rateLimit(server: Backend): Double {
        if (!isLimited(server)) return Double.POSITIVE_INFINITY
        return allowance(server) / count(server).window.toDouble(DurationUnit.SECONDS)
    }

    /** Counts warm servers too, because a server may become cold within the window. */
    override fun selected(server: Backend) {
        if (tolerated(server) > 0) count(server).requests.add(1.0, out.now)
    }

    /** Forgets the servers that are not among [ids]. */
    fun retain(ids: Set<BackendServerId>) {
        counts.keys.retainAll(ids)
        times.retain(ids)
    }

    private fun isLimited(server: Backend) = tolerated(server) > 0 && times.isCold(server.id)

    private fun allowance(server: Backend): Int = shares.allowance(server.id, terms.bound(tolerated(server)))

    private fun count(server: Backend) =
        counts.getOrPut(server.id) { Count(if (server.stage == null) CALL_WINDOW else ENGINE_WINDOW) }

    private fun log(server: Backend, count: Count, allowance: Int) {
        if (count.loggedAt?.let { out.now - it < LOG_INTERVAL } == true) return
        count.loggedAt = out.now
        out.log(LogEvent.COLD_BUDGET_USED, "server" to server.id, "service" to server.service, "budget" to allowance)
    }

    private companion object {
        /** A second, and the time by which calls selected earlier and later may differ on their way to the server. */
        val CALL_WINDOW = 1_250.milliseconds

        /** A decode engine gets its request after the prefill, which takes up to a second under load. */
        val ENGINE_WINDOW = 2.seconds
        val LOG_INTERVAL = 1.seconds
    }
}
