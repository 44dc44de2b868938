package io.anvilvalve.core

import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.log.Member
import io.anvilvalve.api.peer.InFlightAttempt
import io.anvilvalve.api.peer.PeerMessage

/** Replicas of other hosts' in-flight tables, used to cancel the attempts of a removed host. */
internal class InFlightBackup(private val send: (Member, PeerMessage) -> Unit) {
    private class Replica(var sequence: Long) {
        val entries = HashMap<String, InFlightAttempt>()
    }

    private val replicas = HashMap<Incarnation, Replica>()

    fun apply(from: Member, delta: PeerMessage.InFlightDelta) {
        val replica = replicas[from.incarnation]
        when {
            delta.full && (replica == null || delta.sequence > replica.sequence) -> replace(from, delta)

            replica == null -> send(from, PeerMessage.InFlightResync(expected = 0))

            delta.sequence <= replica.sequence -> Unit

            delta.sequence > replica.sequence + 1 -> applyAfterGap(from, replica, delta)

            else -> {
                replica.sequence = delta.sequence
                update(replica, delta)
            }
        }
    }

    /** Removes the replica of [incarnation] and returns the attempts in it. */
    fun remove(incarnation: Incarnation): Collection<InFlightAttempt> =
        replicas.remove(incarnation)?.entries?.values.orEmpty()

    /** Drops the replicas of all other incarnations, which left on their own with no attempts running. */
    fun retainOnly(incarnations: Set<Incarnation>) {
        replicas.keys.retainAll(incarnations)
    }

    private fun replace(from: Member, delta: PeerMessage.InFlightDelta) {
        val replica = Replica(delta.sequence)
        delta.added.forEach { replica.entries[it.engineId] = it }
        replicas[from.incarnation] = replica
    }

    /** Applies [delta], because the sender may die before the full table arrives, and requests a resync. */
    private fun applyAfterGap(from: Member, replica: Replica, delta: PeerMessage.InFlightDelta) {
        update(replica, delta)
        send(from, PeerMessage.InFlightResync(expected = replica.sequence + 1))
    }

    private fun update(replica: Replica, delta: PeerMessage.InFlightDelta) {
        delta.added.forEach { replica.entries[it.engineId] = it }
        delta.removed.forEach { replica.entries.remove(it) }
    }
}
