package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.HostId
import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.log.Member
import io.anvilvalve.api.peer.PeerMessage
import io.anvilvalve.api.routing.StorePosition
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Short form of an incarnation in messages that list many hosts. */
internal val Incarnation.hash: Int get() = value.hashCode()

/** The other hosts, discovered through the store or through their messages. */
internal class Peers(val self: Member, private val out: Outbox) {
    /** State of one other host. */
    class Peer(var member: Member, var registeredAt: Duration) {
        /** Time of the latest message received from the host itself. */
        var lastReceivedAt: Duration? = null

        /** Time of the latest report received from the host. */
        var lastReportAt: Duration? = null

        /** Time of the latest message of a coordinator that has received reports of the host. */
        var lastMentionedAt: Duration? = null
        var lastAcknowledgedAt: Duration = registeredAt
        var lastMessage: PeerMessage.Gossip? = null

        /** Position of its entry in the store when it was last read; null if none was read. */
        var entry: StorePosition? = null

        /** Time at which the peer was last known to run without having been heard. */
        var presentAt: Duration = registeredAt

        val lastPresentAt: Duration get() = maxOf(lastAliveAt, presentAt)

        val lastAliveAt: Duration
            get() = maxOf(registeredAt, lastReceivedAt ?: registeredAt, lastMentionedAt ?: registeredAt)
    }

    /** An entry of a host in the store. */
    class Listed(val member: Member, val position: StorePosition)

    private val peers = LinkedHashMap<HostId, Peer>()

    /** Hosts that have been silent for [RoutingTimes.PEER_EXPIRY], or have announced their stop and become silent. */
    private val departed = LinkedHashMap<Incarnation, Peer>()

    /** Departed incarnations whose entries may still be in the store. */
    private val listedDeparted = HashSet<Incarnation>()
    private var tickedAt: Duration? = null

    val all: Collection<Peer> get() = peers.values

    /** Whether every host sends its state to all others. */
    val isSmallFleet: Boolean get() = peers.size < SMALL_FLEET

    private val timeout get() = if (isSmallFleet) RoutingTimes.PEER_TIMEOUT else RoutingTimes.REPORT_TIMEOUT

    /** Number of other hosts that may be running. */
    val size: Int get() = peers.size

    /** All hosts, this host included, by rank: larger hosts first, because some tasks fall to the first hosts. */
    var ranked: List<Member> = listOf(self)
        private set

    /** Number of other hosts that are not alive (see [isAlive]), as of the latest message or tick. */
    var silentCount: Int = 0
        private set

    /** Whether a coordinator mentioned an incarnation that is not registered; reset by [consumeUnknownMentioned]. */
    private var unknownMentioned = false

    operator fun get(host: HostId): Peer? = peers[host]

    /** Registers [member]; returns whether its incarnation was not known before. */
    fun register(member: Member): Boolean = put(member).also { if (it) update() }

    /** Registers [member], from which a message arrived, also if it had departed. */
    fun registerHeard(member: Member): Boolean {
        departed -= member.incarnation
        return register(member)
    }

    private fun put(member: Member): Boolean {
        if (member.host == self.host || member.incarnation in departed) return false
        val known = peers[member.host]
        if (known?.member?.incarnation == member.incarnation) return false
        peers[member.host] = Peer(member, out.now)
        return true
    }

    /**
     * Registers the hosts in [list], all entries of hosts in the store; returns those whose incarnations were not known.
     *
     * A silent or departed host runs if its entry was written again since the last list. After a restore of the store the
     * positions say nothing about that.
     */
    fun applyList(list: List<Listed>): List<Member> {
        listedDeparted.clear()
        val joined = list.filter { listed ->
            val incarnation = listed.member.incarnation
            val isRenewed = departed[incarnation]?.let { noteEntry(it, listed.position) }
            if (isRenewed == true) departed -= incarnation
            if (isRenewed == false) listedDeparted += incarnation
            val isNew = put(listed.member)
            val peer = peers[listed.member.host]?.takeIf { it.member.incarnation == incarnation }
            if (peer != null && noteEntry(peer, listed.position)) peer.presentAt = out.now
            isNew
        }
        update()
        return joined.map { it.member }
    }

    /** Records the [position] of the entry of [peer]; returns whether the entry was written again. */
    private fun noteEntry(peer: Peer, position: StorePosition): Boolean {
        val last = peer.entry
        peer.entry = position
        return last != null && last.era == position.era && position.offset > last.offset
    }

    /** Whether the entry of [member] may be removed from the store, because nothing was received for long. */
    fun isGone(member: Member): Boolean {
        if (member.incarnation in departed) return true
        val peer = peers[member.host]?.takeIf { it.member.incarnation == member.incarnation } ?: return false
        return silence(peer) > RoutingTimes.ENTRY_EXPIRY
    }

    /** Whether some entry in the store is known to be that of a host that is gone. */
    val hasGone: Boolean
        get() = listedDeparted.isNotEmpty() || peers.values.any { silence(it) > RoutingTimes.ENTRY_EXPIRY }

    /** Whether so many hosts have been silent for so long that this host may be cut off from running ones. */
    val isCut: Boolean
        get() = peers.values.count { silence(it) > RoutingTimes.ENTRY_CHECK } > peers.size / CUT_DIVISOR

    private fun silence(peer: Peer) = out.now - peer.lastPresentAt

    /** Records the receipt of [message]; returns its sender, or null if a newer message was already received. */
    fun receive(message: PeerMessage.Gossip): Peer? {
        registerHeard(message.member)
        val peer = peers[message.member.host] ?: return null
        if (message.sequence <= (peer.lastMessage?.sequence ?: -1)) return null
        hear(peer, acknowledged = self.incarnation in message.heard)
        return peer
    }

    /** Records that a message of [peer] arrived; [acknowledged] tells whether the peer receives this host's messages. */
    fun hear(peer: Peer, acknowledged: Boolean) {
        peer.lastReceivedAt = out.now
        if (acknowledged) peer.lastAcknowledgedAt = out.now
        updateSilentCount()
    }

    /** Records that a coordinator has recently received reports of the incarnations with the hash codes [alive]. */
    fun mention(alive: Collection<Int>) {
        val mentioned = alive.toHashSet()
        val returned = departed.values.filter { it.member.incarnation.hash in mentioned }
        returned.forEach { registerHeard(it.member) }
        for (peer in peers.values) if (mentioned.remove(peer.member.incarnation.hash)) peer.lastMentionedAt = out.now
        mentioned.remove(self.incarnation.hash)
        if (mentioned.isNotEmpty()) unknownMentioned = true
        updateSilentCount()
    }

    /** Whether an unknown incarnation was mentioned since the last call; resets the flag. */
    fun consumeUnknownMentioned(): Boolean = unknownMentioned.also { unknownMentioned = false }

    /**
     * Whether a message from the peer, or a mention of it, was received recently. A new peer
     * counts as alive for that time, because its first message is in transit.
     */
    fun isAlive(peer: Peer): Boolean = out.now - peer.lastAliveAt < timeout

    /** Whether a message from the peer itself was received recently. */
    fun isHeard(peer: Peer): Boolean = peer.lastReceivedAt?.let { out.now - it < timeout } == true

    /**
     * Removes hosts that have been silent for [RoutingTimes.PEER_EXPIRY] or that have departed; returns those among the
     * hosts that satisfy [receiveMessages] that no longer receive messages from this host.
     */
    fun tick(receiveMessages: (Peer) -> Boolean = { true }): List<Peer> {
        // While this host was frozen, it could hear nobody.
        if (tickedAt?.let { out.now - it > FROZEN_TIME } == true) peers.values.forEach { it.presentAt = out.now }
        tickedAt = out.now
        val gone = peers.values.filter { hasDeparted(it) || silence(it) > RoutingTimes.PEER_EXPIRY }
        gone.forEach(::depart)
        if (gone.isNotEmpty()) updateRanks()
        updateSilentCount()
        val notReceiving = peers.values.filter {
            out.now - it.lastAcknowledgedAt > timeout && receiveMessages(it)
        }
        notReceiving.forEach { it.lastAcknowledgedAt = out.now }
        return notReceiving
    }

    private fun depart(peer: Peer) {
        peers.remove(peer.member.host)
        departed[peer.member.incarnation] = peer
        if (peer.entry != null) listedDeparted += peer.member.incarnation
        if (departed.size > MAX_DEPARTED) departed.remove(departed.keys.first())
    }

    private fun update() {
        updateRanks()
        updateSilentCount()
    }

    /** Number of other hosts that are ready. */
    val readyCount: Int get() = peers.values.count(::isReady)

    /**
     * Other hosts that are ready, or that stop and accept connections until after [time]. Of two hosts that stop at the
     * same moment, the one with the higher id counts as the later one.
     */
    fun servingAfter(time: Duration): List<Member> = peers.values.filter { peer ->
        val later = servesUntil(peer) - time
        later > TIE_MARGIN || (later > -TIE_MARGIN && peer.member.host.value > self.host.value)
    }.map { it.member }

    private fun servesUntil(peer: Peer): Duration {
        val drainMillis = peer.lastMessage?.drainMillis ?: 0
        return if (isReady(peer)) {
            Duration.INFINITE
        } else {
            (peer.lastReceivedAt ?: Duration.ZERO) +
                drainMillis.milliseconds
        }
    }

    /** In a large fleet most hosts report to the coordinators only; for the others, they are ready while they are alive. */
    private fun isReady(peer: Peer): Boolean =
        if (isHeard(peer)) peer.lastMessage?.ready != false else !isSmallFleet && isAlive(peer)

    /** Share of all hosts from which this host recently received reports, including itself. */
    val reportingShare: Double get() = reportingShare(timeout)

    /** As [reportingShare], of hosts that reported [within] the given time. */
    fun reportingShare(within: Duration): Double {
        val count = all.count { peer -> peer.lastReportAt?.let { out.now - it < within } == true }
        return (count + 1.0) / (size + 1)
    }

    /** Time since the latest report of the alive host that has reported least recently; null if none has reported. */
    val oldestReportAge: Duration?
        get() = all.filter(::isAlive).mapNotNull { peer -> peer.lastReportAt?.let { out.now - it } }.maxOrNull()

    /** Share of all hosts that are alive, including this host. */
    val aliveShare: Double get() = (size + 1.0 - silentCount) / (size + 1)

    /**
     * Whether this host performs the tasks that a single host performs for all. The leader has the first rank among the
     * alive hosts. A host for which at most half of all hosts are alive, itself included, does not lead, because it may
     * be partitioned off while another host leads.
     */
    val isLeader: Boolean get() = aliveShare > HALF && isFirstAlive

    /** Whether this host has the first rank among the alive hosts, however many are alive. */
    val isFirstAlive: Boolean get() = ranked.first(::isSelfOrAlive).host == self.host

    /** Whether [member] is this host, or a host that is alive. */
    fun isSelfOrAlive(member: Member): Boolean = member.host == self.host || peers[member.host]?.let(::isAlive) == true

    /** Whether a host that announced its stop has ended: it is silent, and accepts no requests any more. */
    private fun hasDeparted(peer: Peer): Boolean =
        peer.lastMessage?.drainMillis != null && !isAlive(peer) && servesUntil(peer) < out.now

    private fun updateRanks() {
        ranked = (peers.values.map { it.member } + self)
            .sortedWith(compareByDescending<Member> { it.capacity }.thenBy { it.host.value })
    }

    private fun updateSilentCount() {
        silentCount = peers.values.count { !isAlive(it) }
    }

    companion object {
        /** With more hosts, messages from every host to every other take more of a small host than its requests do. */
        const val SMALL_FLEET = 12
        private const val HALF = 0.5

        /** The entries of that many replaced hosts are not counted again when a restored store brings them back. */
        private const val MAX_DEPARTED = 4_096

        /** One silent host in this many has failed; more of them may be running beyond a cut. */
        private const val CUT_DIVISOR = 16

        /** Several times the longest interval between ticks. */
        private val FROZEN_TIME = 2.seconds

        /** Longer than a message is in transit. */
        private val TIE_MARGIN = 150.milliseconds
    }
}
