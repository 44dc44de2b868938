package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.HostId
import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.id.LogOffset
import io.anvilvalve.api.log.Member
import io.anvilvalve.api.peer.PeerFrame
import io.anvilvalve.api.peer.PeerMessage
import io.anvilvalve.api.result.LogEvent
import kotlin.time.Duration

/**
 * Sends peers this host's admissions, calls, queues and server loads, shortly after a change and at a fixed interval:
 * to all peers, or to the coordinators in a large fleet.
 */
internal class Gossip(
    private val self: Member,
    private val seeds: List<String>,
    private val out: Outbox,
    private val peers: Peers,
    private val coordinators: Coordinators,
    private val buildMessage: (sequence: Long, heard: List<Incarnation>) -> PeerMessage.Gossip,
) {
    private var sequence = 0L
    private var sentAt: Duration? = null
    private var maxDelay = Duration.INFINITE
    private val lostPeers = HashSet<HostId>()

    /** Whether a change waits to be sent. */
    val isPending: Boolean get() = maxDelay.isFinite()

    /** Requests that the next message is sent at most [maxDelay] after the last one. */
    fun sendWithin(maxDelay: Duration) {
        this.maxDelay = minOf(this.maxDelay, maxDelay)
    }

    /** Sends a message if one is due. */
    fun flush() {
        val since = sentAt?.let { out.now - it }
        val interval = if (coordinators.isDirect) RoutingTimes.GOSSIP_INTERVAL else RoutingTimes.REPORT_INTERVAL
        if (since != null && since < minOf(maxDelay, interval)) return
        sentAt = out.now
        maxDelay = Duration.INFINITE
        val message = buildMessage(++sequence, peers.all.filter(peers::isHeard).map { it.member.incarnation })
        targets().forEach { send(it, message) }
    }

    fun tick() {
        // Only hosts that get messages from this one acknowledge them. In a large fleet, the coordinators log for all.
        val sendsToAll = coordinators.isDirect || coordinators.selfCoordinates
        val targets = if (sendsToAll) emptySet() else coordinators.targets.mapTo(HashSet()) { it.host }
        val receivesMessages = { peer: Peers.Peer -> sendsToAll || peer.member.host in targets }
        for (peer in peers.tick(receivesMessages)) {
            out.log(LogEvent.PEER_RESET, "peer" to peer.member.incarnation)
            out.emit(RoutingEffect.ResetPeer(peer.member))
        }
        peers.all.filter(receivesMessages).forEach(::logConnectivity)
    }

    fun send(to: Member, message: PeerMessage) = out.emit(
        RoutingEffect.SendFrame(to, PeerFrame(PeerFrame.VERSION, self.host, self.incarnation, LogOffset(-1), message)),
    )

    private fun logConnectivity(peer: Peers.Peer) {
        val host = peer.member.host
        val alive = peers.isAlive(peer)
        if (alive && lostPeers.remove(host)) out.log(LogEvent.PEER_REGAINED, "peer" to peer.member.incarnation)
        if (!alive && lostPeers.add(host)) out.log(LogEvent.PEER_LOST, "peer" to peer.member.incarnation)
    }

    /** A host that knows no other host, because it cannot read the store, uses the seed addresses from its settings. */
    private fun targets(): List<Member> {
        val known = if (coordinators.isDirect) peers.all.map { it.member } else coordinators.targets
        return known.ifEmpty(::seedTargets)
    }

    private fun seedTargets() = seeds.map { self.copy(host = HostId(it), address = it) }
}
