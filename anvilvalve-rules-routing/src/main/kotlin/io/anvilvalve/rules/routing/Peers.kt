package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.HostId
import io.anvilvalve.api.log.Member
import io.anvilvalve.api.peer.PeerMessage
import kotlin.time.Duration

/** The other hosts: found in the store or by their messages. */
internal class Peers(private val self: Member, private val out: Outbox) {
    /** What is known of one other host. */
    class Peer(var member: Member, var registeredAt: Duration) {
        var lastReceivedAt: Duration? = null
        var lastAcknowledgedAt: Duration = registeredAt
        var lastMessage: PeerMessage.Gossip? = null
    }

    private val peers = LinkedHashMap<HostId, Peer>()

    val all: Collection<Peer> get() = peers.values

    /** Number of hosts that may be running, without this one. */
    val size: Int get() = peers.size

    /** Number of hosts that were not heard lately. */
    var silentCount: Int = 0
        private set

    /** Learns of [member]; returns whether it is another incarnation than the one known. */
    fun register(member: Member): Boolean {
        if (member.host == self.host) return false
        val known = peers[member.host]
        if (known?.member?.incarnation == member.incarnation) return false
        peers[member.host] = Peer(member, out.now)
        updateSilentCount()
        return true
    }

    /** Takes in [message]; returns the peer, or null when the message is an old one. */
    fun receive(message: PeerMessage.Gossip): Peer? {
        register(message.member)
        val peer = peers[message.member.host] ?: return null
        if (message.sequence <= (peer.lastMessage?.sequence ?: -1)) return null
        peer.lastReceivedAt = out.now
        if (self.incarnation in message.heard) peer.lastAcknowledgedAt = out.now
        updateSilentCount()
        return peer
    }

    /** A peer that has just become known counts as heard, because its first message is on the way. */
    fun isAlive(peer: Peer): Boolean = out.now - (peer.lastReceivedAt ?: peer.registeredAt) < RoutingTimes.PEER_TIMEOUT

    /** Forgets hosts that have been silent for long; returns those that no longer hear this one. */
    fun tick(): List<Peer> {
        peers.values.removeIf { out.now - (it.lastReceivedAt ?: it.registeredAt) > RoutingTimes.PEER_EXPIRY }
        updateSilentCount()
        val notReceiving = peers.values.filter { out.now - it.lastAcknowledgedAt > RoutingTimes.PEER_TIMEOUT }
        notReceiving.forEach { it.lastAcknowledgedAt = out.now }
        return notReceiving
    }

    /** Share of the hosts that hear each other, this one included. */
    val aliveShare: Double get() = (size + 1.0 - silentCount) / (size + 1)

    /**
     * Whether this host does what one host does for all: it has the lowest id of those that hear each other. A host that
     * hears less than half of the others may be cut off, and another host leads.
     */
    val isLeader: Boolean
        get() = aliveShare > HALF && all.filter(::isAlive).all { it.member.host.value > self.host.value }

    private fun updateSilentCount() {
        silentCount = peers.values.count { !isAlive(it) }
    }

    private companion object {
        const val HALF = 0.5
    }
}
