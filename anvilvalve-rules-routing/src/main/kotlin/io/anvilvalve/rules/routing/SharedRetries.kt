package io.anvilvalve.rules.routing

import io.anvilvalve.api.peer.PeerMessage
import io.anvilvalve.api.peer.SharedAttempts
import io.anvilvalve.api.routing.ServiceId
import kotlin.time.Duration

/**
 * Retry budget of each service across all hosts.
 *
 * A host counts its own calls at once and those of its peers when they report them. It uses [USABLE_SHARE] of the
 * budget, so that hosts that decide at the same time stay within it.
 */
internal class SharedRetries(
    private val out: Outbox,
    private val coordinators: Coordinators,
    private val settings: RoutingSettings,
) {
    /** Counts of this host in the window, and of the others as far as they are known. */
    private class Count(private val window: Duration) {
        val own = SlidingWindowCounter(window)
        val others = SlidingWindowCounter(window)

        fun sum(now: Duration) = own.sum(now) + others.sum(now)

        /**
         * Adds [amount] that another host reports. After a [gap] in its reports, e.g. a network cut, only the part of it
         * that belongs to the window counts.
         */
        fun addPeer(amount: Long, gap: Duration?, now: Duration) {
            val added = amount.coerceAtLeast(0).toDouble()
            if (gap == null) others.add(added, now) else others.addEvenly(added * minOf(1.0, window / gap), now)
        }

        /** Replaces the count of the others by a [total] of all hosts. */
        fun replaceTotal(total: Long, now: Duration) {
            others.clear()
            others.addEvenly((total - own.sum(now)).coerceAtLeast(0.0), now)
        }
    }

    private class Counts(settings: RoutingSettings) {
        val requests = Count(settings.retryWindow)
        val retries = Count(settings.retryWindow)
        var ownRequests = 0L
        var ownRetries = 0L
    }

    private val services = LinkedHashMap<ServiceId, Counts>()

    /** Request and retry counts of this host, with the state of its [queues]. */
    fun buildReport(queues: Queues): List<SharedAttempts> = services.map { (id, it) ->
        SharedAttempts(id, it.ownRequests, it.ownRetries, queues.queuedTokens(id), queues.head(id))
    }

    /** Counts of all hosts in the window. */
    fun buildTotals(): List<SharedAttempts> = services.map { (id, it) ->
        SharedAttempts(id, it.requests.sum(out.now).toLong(), it.retries.sum(out.now).toLong(), queuedTokens = 0)
    }

    fun recordRequest(service: ServiceId) {
        val counts = counts(service)
        counts.ownRequests++
        counts.requests.own.add(1.0, out.now)
    }

    /** Reserves one retry from the budget; returns false if the budget is used up. */
    fun tryReserveRetry(service: ServiceId): Boolean {
        val counts = counts(service)
        if (counts.retries.sum(out.now) + 1 > allowed(counts)) return false
        counts.ownRetries++
        counts.retries.own.add(1.0, out.now)
        return true
    }

    /** Applies a peer's report; [last] is its previous report, received at [lastAt], or null for the first. */
    fun applyReport(message: PeerMessage.Gossip, last: PeerMessage.Gossip?, lastAt: Duration?) {
        // Calls before the first report of a settled host may precede the window.
        if (last == null && message.settled) return
        val before = last?.attempts.orEmpty().associateBy { it.service }
        val gap = lastAt?.let { out.now - it }?.takeIf { it > RoutingTimes.REPORT_TIMEOUT }
        for (now in message.attempts) {
            val known = before[now.service]
            val counts = counts(now.service)
            counts.requests.addPeer(now.requests - (known?.requests ?: 0), gap, out.now)
            counts.retries.addPeer(now.retries - (known?.retries ?: 0), gap, out.now)
        }
    }

    /** Replaces the counts of the others by the [totals] that a coordinator knows. */
    fun applyTotals(totals: List<SharedAttempts>) = totals.forEach {
        val counts = counts(it.service)
        counts.requests.replaceTotal(it.requests, out.now)
        counts.retries.replaceTotal(it.retries, out.now)
    }

    private fun allowed(counts: Counts): Double {
        val budget = counts.requests.sum(out.now) * settings.retryRatio + settings.retryExtra
        // A host that receives no messages from peers does not know their calls, so it uses only its own share.
        return budget * USABLE_SHARE * coordinators.fleetShare
    }

    private fun counts(service: ServiceId) = services.getOrPut(service) { Counts(settings) }

    private companion object {
        const val USABLE_SHARE = 0.7
    }
}
