package io.anvilvalve.core

import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.id.HostId
import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.peer.InFlightAttempt
import io.anvilvalve.api.peer.Phase
import io.anvilvalve.api.peer.PlacementOutcome

/**
 * Placements that this host made, as pool owner, for requests of other hosts.
 *
 * The owner cancels them when the origin's removal takes effect. Unlike the origin's replicated table, this record
 * cannot miss an attempt, because the owner made the placement itself.
 */
internal class PlacedWork {
    private class Entry(val origin: HostId, val attempts: HashMap<Int, List<BackendServerId>> = HashMap())

    private val entries = HashMap<RequestId, Entry>()

    fun add(origin: HostId, id: RequestId, attempt: Int, placed: PlacementOutcome.Placed) {
        entries.getOrPut(id) { Entry(origin) }.attempts[attempt] = listOf(placed.prefill, placed.decode).distinct()
    }

    fun progressed(id: RequestId, attempt: Int, phase: Phase) {
        if (phase !in TERMINAL_PHASES) return
        val entry = entries[id] ?: return
        entry.attempts.remove(attempt)
        if (entry.attempts.isEmpty()) entries.remove(id)
    }

    fun removeByOrigin(origin: HostId): List<InFlightAttempt> {
        val removed = entries.filterValues { it.origin == origin }
        entries.keys.removeAll(removed.keys)
        return removed.flatMap { (id, entry) ->
            entry.attempts.map { (n, servers) -> InFlightAttempt("${id.value}.$n", servers) }
        }
    }

    companion object {
        private val TERMINAL_PHASES = setOf(Phase.DECODE_FINISHED, Phase.CANCELLED)
    }
}
