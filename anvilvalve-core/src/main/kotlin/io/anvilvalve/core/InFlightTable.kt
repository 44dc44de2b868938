package io.anvilvalve.core

import io.anvilvalve.api.log.Member
import io.anvilvalve.api.peer.InFlightAttempt
import io.anvilvalve.api.peer.PeerMessage
import io.anvilvalve.api.release.BackendServer
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Running attempts of this host at backend servers, replicated to a backup host as numbered deltas.
 *
 * The protocol follows ct_sync (Welte, state replication of ip_conntrack): numbered updates, with a full table at the
 * start and after a gap.
 */
internal class InFlightTable(private val send: (Member, PeerMessage) -> Unit) {
    private val entries = LinkedHashMap<String, InFlightAttempt>()
    private val added = LinkedHashMap<String, InFlightAttempt>()
    private val removed = LinkedHashSet<String>()
    private var backup: Member? = null
    private var sequence = 0L
    private var sendFull = false
    private var lastSent = Duration.ZERO

    val size: Int get() = entries.size

    fun add(engineId: String, servers: List<BackendServer>) {
        val entry = InFlightAttempt(engineId, servers.map { it.id }.distinct())
        entries[engineId] = entry
        added[engineId] = entry
    }

    fun remove(engineId: String) {
        if (entries.remove(engineId) == null) return
        if (added.remove(engineId) == null) removed += engineId
    }

    fun replicateTo(member: Member?) {
        if (member?.incarnation == backup?.incarnation) return
        backup = member
        sendFull = true
    }

    fun resync(from: Member) {
        if (from.incarnation == backup?.incarnation) sendFull = true
    }

    /**
     * Sends a delta if one is due.
     *
     * Additions are sent at once, so that a host that dies right after starting an attempt leaves no unknown orphan.
     */
    fun flush(now: Duration) {
        val to = backup ?: return
        val wait = when {
            sendFull || added.isNotEmpty() -> Duration.ZERO
            removed.isNotEmpty() -> BATCH_INTERVAL
            else -> HEARTBEAT_INTERVAL
        }
        if (now - lastSent < wait) return
        lastSent = now
        send(to, nextDelta())
    }

    private fun nextDelta(): PeerMessage.InFlightDelta {
        val full = sendFull
        val delta = PeerMessage.InFlightDelta(
            sequence = ++sequence,
            full = full,
            added = (if (full) entries else added).values.toList(),
            removed = if (full) emptyList() else removed.toList(),
        )
        sendFull = false
        added.clear()
        removed.clear()
        return delta
    }

    companion object {
        val BATCH_INTERVAL = 100.milliseconds

        /** An empty delta lets the backup detect that the previous delta was lost. */
        val HEARTBEAT_INTERVAL = 1.seconds
    }
}
