package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.HostId
import io.anvilvalve.api.log.Member
import io.anvilvalve.api.peer.PeerMessage
import kotlin.time.Duration

/** The other hosts: found in the store or by their messages. */
internal class Peers(private val self: Member, private val out: Outbox) {
    /** What is known of one other host. */
    class Peer(var member: Member, var knownAt: Duration) {
        var heardAt: Duration? = null
        var hearsUsAt: Duration = knownAt
        var last: PeerMessage.Gossip? = null
    }

    private val peers = LinkedHashMap<HostId, Peer>()

    val all: Collection<Peer> get() = peers.values

    /** Number of hosts that may be running, without this one. */
    val size: Int get() = peers.size

    /** Number of hosts that were not heard lately. */
    var silent: Int = 0
        private set

    /** Learns of [member]; returns whether it is another incarnation than the one known. */
    fun learn(member: Member): Boolean {
        if (member.host == self.host) return false
        val known = peers[member.host]
        if (known?.member?.incarnation == member.incarnation) return false
        peers[member.host] = Peer(member, out.now)
        count()
        return true
    }

    /** Takes in [message]; returns the peer, or null when the message is an old one. */
    fun heard(message: PeerMessage.Gossip): Peer? {
        learn(message.member)
        val peer = peers[message.member.host] ?: return null
        if (message.sequence <= (peer.last?.sequence ?: -1)) return null
        peer.heardAt = out.now
        if (self.incarnation in message.heard) peer.hearsUsAt = out.now
        count()
        return peer
    }

    /** A peer that has just become known counts as heard, because its first message is on the way. */
    fun isHeard(peer: Peer): Boolean = out.now - (peer.heardAt ?: peer.knownAt) < RoutingTimes.PEER_SILENT

    /** Forgets hosts that have been silent for long; returns those that no longer hear this one. */
    fun tick(): List<Peer> {
        peers.values.removeIf { out.now - (it.heardAt ?: it.knownAt) > RoutingTimes.PEER_GONE }
        count()
        val deaf = peers.values.filter { out.now - it.hearsUsAt > RoutingTimes.PEER_SILENT }
        deaf.forEach { it.hearsUsAt = out.now }
        return deaf
    }

    /** Share of the hosts that hear each other, this one included. */
    val heardShare: Double get() = (size + 1.0 - silent) / (size + 1)

    /**
     * Whether this host does what one host does for all: it has the lowest id of those that hear each other. A host that
     * hears less than half of the others may be cut off, and another host leads.
     */
    val leads: Boolean get() = heardShare > HALF && all.filter(::isHeard).all { it.member.host.value > self.host.value }

    private fun count() {
        silent = peers.values.count { !isHeard(it) }
    }

    private companion object {
        const val HALF = 0.5
    }
}
