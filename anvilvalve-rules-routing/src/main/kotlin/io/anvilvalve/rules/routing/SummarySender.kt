package io.anvilvalve.rules.routing

import io.anvilvalve.api.log.Member
import io.anvilvalve.api.peer.FleetSummary
import kotlin.time.Duration

/** Sends all hosts the summaries of this host while it is a coordinator. */
internal class SummarySender(
    private val out: Outbox,
    private val peers: Peers,
    private val coordinators: Coordinators,
    private val send: (Member, FleetSummary) -> Unit,
    private val buildSummary: (number: Long, alive: List<Int>) -> FleetSummary,
) {
    private var number = 0L
    private var sentAt: Duration? = null
    private var maxDelay = RoutingTimes.SUMMARY_INTERVAL

    /** Requests that the next summary is sent at most [maxDelay] after the last one. */
    fun sendWithin(maxDelay: Duration) {
        this.maxDelay = minOf(this.maxDelay, maxDelay)
    }

    /** Sends a summary if one is due. */
    fun flush() {
        if (!coordinators.selfCoordinates) return
        val since = sentAt?.let { out.now - it }
        if (since != null && since < maxDelay) return
        sentAt = out.now
        maxDelay = RoutingTimes.SUMMARY_INTERVAL
        val summary = buildSummary(++number, peers.all.filter(peers::isHeard).map { it.member.incarnation.hash })
        peers.all.filter(peers::isAlive).forEach { send(it.member, summary) }
    }
}
