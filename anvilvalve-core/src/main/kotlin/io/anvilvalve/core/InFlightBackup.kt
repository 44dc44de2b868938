package io.anvilvalve.core

import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.log.Member
import io.anvilvalve.api.peer.InFlightAttempt
import io.anvilvalve.api.peer.PeerMessage

/** Copies of other hosts' in-flight tables, kept to cancel what a removed host leaves behind. */
internal class InFlightBackup(private val send: (Member, PeerMessage) -> Unit) {
    private class Copy(var sequence: Long) {
        val entries = HashMap<String, InFlightAttempt>()
    }

    private val copies = HashMap<Incarnation, Copy>()

    fun apply(from: Member, delta: PeerMessage.InFlightDelta) {
        val copy = copies[from.incarnation]
        when {
            delta.full && (copy == null || delta.sequence > copy.sequence) -> replace(from, delta)

            copy == null -> send(from, PeerMessage.InFlightResync(expected = 0))

            delta.sequence <= copy.sequence -> Unit

            delta.sequence > copy.sequence + 1 -> afterGap(from, copy, delta)

            else -> {
                copy.sequence = delta.sequence
                update(copy, delta)
            }
        }
    }

    /** Returns and forgets what [incarnation] had running. */
    fun take(incarnation: Incarnation): Collection<InFlightAttempt> =
        copies.remove(incarnation)?.entries?.values.orEmpty()

    /** Forgets hosts that left by themselves with nothing running. */
    fun keepOnly(incarnations: Set<Incarnation>) {
        copies.keys.retainAll(incarnations)
    }

    private fun replace(from: Member, delta: PeerMessage.InFlightDelta) {
        val copy = Copy(delta.sequence)
        delta.added.forEach { copy.entries[it.engineId] = it }
        copies[from.incarnation] = copy
    }

    /** Keeps what the delta tells, since the sender may die before the full table arrives, and asks again. */
    private fun afterGap(from: Member, copy: Copy, delta: PeerMessage.InFlightDelta) {
        update(copy, delta)
        send(from, PeerMessage.InFlightResync(expected = copy.sequence + 1))
    }

    private fun update(copy: Copy, delta: PeerMessage.InFlightDelta) {
        delta.added.forEach { copy.entries[it.engineId] = it }
        delta.removed.forEach { copy.entries.remove(it) }
    }
}
