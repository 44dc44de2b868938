package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.HostId
import io.anvilvalve.api.log.Member
import io.anvilvalve.api.peer.PeerMessage
import kotlin.time.Duration

/** The other hosts, discovered through the store or through their messages. */
internal class Peers(private val self: Member, private val out: Outbox) {
    /** State of one other host. */
    class Peer(var member: Member, var registeredAt: Duration) {
        var lastReceivedAt: Duration? = null
        var lastAcknowledgedAt: Duration = registeredAt
        var lastMessage: PeerMessage.Gossip? = null
    }

    private val peers = LinkedHashMap<HostId, Peer>()

    val all: Collection<Peer> get() = peers.values

    /** Number of other hosts that may be running. */
    val size: Int get() = peers.size

    /** Number of other hosts that are not alive (see [isAlive]), as of the latest message or tick. */
    var silentCount: Int = 0
        private set

    /** Registers [member]; returns whether its incarnation was not known before. */
    fun register(member: Member): Boolean {
        if (member.host == self.host) return false
        val known = peers[member.host]
        if (known?.member?.incarnation == member.incarnation) return false
        peers[member.host] = Peer(member, out.now)
        updateSilentCount()
        return true
    }

    /** Records the receipt of [message]; returns its sender, or null if a newer message was already received. */
    fun receive(message: PeerMessage.Gossip): Peer? {
        register(message.member)
        val peer = peers[message.member.host] ?: return null
        if (message.sequence <= (peer.lastMessage?.sequence ?: -1)) return null
        peer.lastReceivedAt = out.now
        if (self.incarnation in message.heard) peer.lastAcknowledgedAt = out.now
        updateSilentCount()
        return peer
    }

    /**
     * Whether a message from the peer was received within [RoutingTimes.PEER_TIMEOUT]. A new peer counts as alive for
     * that time, because its first message is in transit.
     */
    fun isAlive(peer: Peer): Boolean = out.now - (peer.lastReceivedAt ?: peer.registeredAt) < RoutingTimes.PEER_TIMEOUT

    /**
     * Removes hosts that have been silent for [RoutingTimes.PEER_EXPIRY]; returns those that no longer receive messages
     * from this host.
     */
    fun tick(): List<Peer> {
        peers.values.removeIf { out.now - (it.lastReceivedAt ?: it.registeredAt) > RoutingTimes.PEER_EXPIRY }
        updateSilentCount()
        val notReceiving = peers.values.filter { out.now - it.lastAcknowledgedAt > RoutingTimes.PEER_TIMEOUT }
        notReceiving.forEach { it.lastAcknowledgedAt = out.now }
        return notReceiving
    }

    /** Share of all hosts that are alive, including this host. */
    val aliveShare: Double get() = (size + 1.0 - silentCount) / (size + 1)

    /**
     * Whether this host performs the tasks that a single host performs for all. The leader has the lowest id among the
     * alive hosts. A host for which at most half of all hosts are alive, itself included, does not lead, because it may
     * be partitioned off while another host leads.
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
