package io.anvilvalve.rules.routing

import io.anvilvalve.api.routing.StorePosition
import java.util.TreeMap

/**
 * Order in which the entries of backend servers changed, so that another host can be sent only what it does not know.
 *
 * The position of a change is the one up to which the store must be read to know it. A host that knows all changes up to a
 * position has read the store at least that far, so positions of different hosts can be compared.
 */
internal class DirectoryChanges {
    private data class Change(val position: StorePosition, val key: String) : Comparable<Change> {
        override fun compareTo(other: Change) = compareValuesBy(this, other, { it.position }, { it.key })
    }

    private val ordered = TreeMap<Change, Unit>()
    private val byKey = HashMap<String, Change>()
    private val removed = LinkedHashSet<String>()

    /** Position after which all removals are known; null before the store was read. */
    var completeSince: StorePosition? = null
        private set

    /** Records that removals are known from [position] on, unless they are known from an earlier one. */
    fun startAt(position: StorePosition) {
        if (completeSince == null) completeSince = position
    }

    /** Records that the entry [key] changed at [position], or was removed if [isRemoved]. */
    fun record(key: String, position: StorePosition, isRemoved: Boolean) {
        forget(key)
        val change = Change(position, key)
        ordered[change] = Unit
        byKey[key] = change
        if (isRemoved) removed += key
        if (removed.size > MAX_REMOVED) forgetRemoval(removed.first())
    }

    /** Keys that changed after [position] with the positions of their changes, in the order of these. */
    fun after(position: StorePosition): Sequence<Pair<String, StorePosition>> =
        ordered.tailMap(Change(position, LAST_KEY), false).keys.asSequence().map { it.key to it.position }

    private fun forgetRemoval(key: String) {
        val position = byKey.getValue(key).position
        completeSince = completeSince?.let { maxOf(it, position) }
        forget(key)
    }

    private fun forget(key: String) {
        byKey.remove(key)?.let(ordered::remove)
        removed -= key
    }

    private companion object {
        /** More than the servers of three data centres at the target size. */
        const val MAX_REMOVED = 2_048

        /** Follows every key. */
        const val LAST_KEY = "\uFFFF"
    }
}
