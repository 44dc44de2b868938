package io.anvilvalve.rules.routing

import io.anvilvalve.api.routing.BackendRevision
import io.anvilvalve.api.routing.StateDecoder
import io.anvilvalve.api.routing.StorePosition
import io.anvilvalve.api.routing.StoredEntry
import kotlin.time.Duration

/**
 * Decides which of two entries of a backend server is newer if the store may have come back from a copy between them.
 *
 * A copy contains entries that their servers have replaced or removed since. Such an entry is held back until its server
 * has had time to write again, or the store to remove the entry of a server that is gone.
 */
internal class RestoredEntries(private val out: Outbox, private val decoder: StateDecoder) {
    /** Last word of a server; [era] is that of the store that had it, or that had removed it. [revision] decodes it. */
    private class LastWord(val era: Long, val revision: () -> BackendRevision?)

    private class HeldBack(val entry: StoredEntry, val dueAt: Duration)

    private val removed = LinkedHashMap<String, LastWord>()
    private val heldBack = HashMap<String, HeldBack>()

    /**
     * Whether [entry] is newer than [known], the entry in use, or than the removal of its last one if there is none. An
     * entry that comes from a copy is held back if it is not.
     */
    fun isNewer(entry: StoredEntry, known: StoredEntry?): Boolean {
        val last = known?.let { LastWord(it.era) { revision(it) } } ?: removed[entry.key] ?: return true
        if (entry.era < last.era) return compare(entry, last) > 0
        val waiting = heldBack.remove(entry.key)
        if (entry.era == last.era) return known == null || entry.offset > known.offset
        val order = if (entry.value == null) 1 else compare(entry, last)
        if (order > 0 || (order == 0 && known != null)) return true
        val dueAt = waiting?.takeIf { it.entry.position == entry.position }?.dueAt
        heldBack[entry.key] = HeldBack(entry, dueAt ?: (out.now + RoutingTimes.RESTORED_ENTRY_GRACE))
        return false
    }

    /** Records that the store had removed [entry] at [position]. */
    fun recordRemoval(entry: StoredEntry, position: StorePosition) {
        removed.remove(entry.key)
        val revision = revision(entry)
        removed[entry.key] = LastWord(position.era) { revision }
        if (removed.size > MAX_REMOVED) removed.remove(removed.keys.first())
    }

    /** Forgets the entries held back whose keys the store has no more. */
    fun retain(keys: Set<String>) {
        heldBack.keys.retainAll(keys)
    }

    val isHoldingBack: Boolean get() = heldBack.isNotEmpty()

    /** Returns the entries that no longer have to be held back, because their servers have not replaced them in time. */
    fun takeDue(): List<StoredEntry> {
        val due = heldBack.values.filter { it.dueAt <= out.now }.map { it.entry }
        due.forEach { heldBack.remove(it.key) }
        return due
    }

    /** An entry that does not decode counts as old as any other. */
    private fun compare(entry: StoredEntry, last: LastWord): Int {
        val revision = revision(entry)
        val lastRevision = last.revision()
        return if (revision == null || lastRevision == null) 0 else revision.compareTo(lastRevision)
    }

    private fun revision(entry: StoredEntry) = entry.value?.let { decoder.revision(it).getOrNull() }

    private companion object {
        /** More than the servers that leave in the seconds that a restore loses. */
        const val MAX_REMOVED = 256
    }
}
