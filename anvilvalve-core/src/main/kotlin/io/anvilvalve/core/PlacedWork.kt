package io.anvilvalve.core

import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.id.HostId
import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.peer.InFlightAttempt
import io.anvilvalve.api.peer.Phase
import io.anvilvalve.api.peer.PlacementOutcome

/**
 * Placements that this host as pool owner gave to other hosts.
 *
 * The owner cancels them when the origin's removal takes effect; unlike the origin's replicated table this record
 * cannot miss a start, because the owner made it.
 */
internal class PlacedWork {
    private class Entry(val origin: HostId, val attempts: HashMap<Int, List<BackendServerId>> = HashMap())

    private val entries = HashMap<RequestId, Entry>()

    fun placed(origin: HostId, id: RequestId, attempt: Int, placed: PlacementOutcome.Placed) {
        entries.getOrPut(id) { Entry(origin) }.attempts[attempt] = listOf(placed.prefill, placed.decode).distinct()
    }

    fun progressed(id: RequestId, attempt: Int, phase: Phase) {
        if (phase !in ENDING) return
        val entry = entries[id] ?: return
        entry.attempts.remove(attempt)
        if (entry.attempts.isEmpty()) entries.remove(id)
    }

    fun takeOf(origin: HostId): List<InFlightAttempt> {
        val gone = entries.filterValues { it.origin == origin }
        entries.keys.removeAll(gone.keys)
        return gone.flatMap { (id, entry) ->
            entry.attempts.map { (n, servers) -> InFlightAttempt("${id.value}.$n", servers) }
        }
    }

    companion object {
        private val ENDING = setOf(Phase.DECODE_FINISHED, Phase.CANCELLED)
    }
}
