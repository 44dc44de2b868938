package io.anvilvalve.rules.routing

import io.anvilvalve.api.peer.FleetSummary

/**
 * Limits the lists of a summary, so that it fits a frame whatever the ids of servers and organisations are; a summary that is
 * not sent would leave the other hosts without coordinator.
 *
 * Of a list that is too long, the entries stay that matter most: the servers with the most requests, the organisations with
 * the most usage, and the servers that announced last that they leave.
 */
internal object SummaryLimits {
    private const val LOADS_BYTES = 400 * 1024
    private const val USAGE_BYTES = 400 * 1024
    private const val SERVERS_BYTES = 60 * 1024

    /** Encoding of the labels and numbers of an entry. */
    private const val ENTRY_BYTES = 32

    fun limit(totals: FleetSummary.Totals): FleetSummary.Totals = totals.copy(
        usage = within(USAGE_BYTES, totals.usage, { it.organisation.value }) { it.sortedByDescending { u -> u.known } },
        loads = within(LOADS_BYTES, totals.loads, { it.server.value }) { it.sortedByDescending { l -> l.requests } },
        unreachable = within(SERVERS_BYTES, totals.unreachable, { it.value }) { it },
        leaving = within(SERVERS_BYTES, totals.leaving, { it.server.value }) { it.asReversed() },
    )

    /** The first entries in the order of [sort] that take at most [bytes] together; [list] itself if all of them do. */
    private fun <T> within(bytes: Int, list: List<T>, id: (T) -> String, sort: (List<T>) -> List<T>): List<T> {
        fun size(entry: T) = ENTRY_BYTES + id(entry).length
        if (list.sumOf(::size) <= bytes) return list
        var left = bytes
        return sort(list).takeWhile {
            left -= size(it)
            left >= 0
        }
    }
}
