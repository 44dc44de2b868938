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
 * Sends peers this host's admissions, calls, queues and server loads, shortly after a change and at a fixed interval.
 */
internal class Gossip(
    private val self: Member,
    private val seeds: List<String>,
    private val out: Outbox,
    private val peers: Peers,
    private val buildMessage: (sequence: Long, heard: List<Incarnation>) -> PeerMessage.Gossip,
) {
    private var sequence = 0L
    private var sentAt: Duration? = null
    private var maxDelay = RoutingTimes.GOSSIP_INTERVAL
    private val lostPeers = HashSet<HostId>()

    /** Requests that the next message is sent at most [maxDelay] after the last one. */
    fun sendWithin(maxDelay: Duration) {
        this.maxDelay = minOf(this.maxDelay, maxDelay)
    }

    /** Sends a message if one is due. */
    fun flush() {
        val since = sentAt?.let { out.now - it }
        if (since != null && since < maxDelay) return
        sentAt = out.now
        maxDelay = RoutingTimes.GOSSIP_INTERVAL
        val message = buildMessage(++sequence, peers.all.filter(peers::isAlive).map { it.member.incarnation })
        targets().forEach { send(it, message) }
    }

    fun tick() {
        for (peer in peers.tick()) {
            out.log(LogEvent.PEER_RESET, "peer" to peer.member.incarnation)
            out.emit(RoutingEffect.ResetPeer(peer.member))
        }
        peers.all.forEach(::logConnectivity)
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
    private fun targets(): List<Member> = peers.all.map { it.member }.ifEmpty {
        seeds.map { self.copy(host = HostId(it), address = it) }
    }
}
