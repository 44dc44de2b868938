package io.anvilvalve.rules.routing

import arrow.core.getOrElse
import io.anvilvalve.api.routing.StateDecoder
import io.anvilvalve.api.routing.StoredEntry

/** Limits what an entry of a backend server takes in memory and in messages to other hosts. */
class EntryLimits(private val decoder: StateDecoder) {
    /**
     * Returns [entry] with at most [MAX_BYTES]: a larger value is shortened to what this host reads of it, and becomes
     * empty, which no decoder reads, if it cannot be decoded or is still larger.
     */
    fun limit(entry: StoredEntry): StoredEntry {
        val value = entry.value
        if (value == null || value.size <= MAX_BYTES) return entry
        val shortened = decoder.shortened(value).getOrElse { EMPTY }
        return entry.withValue(if (shortened.size <= MAX_BYTES) shortened else EMPTY)
    }

    companion object {
        /** Several times the size of an entry with all its fields. */
        const val MAX_BYTES = 1_024
        internal val EMPTY = ByteArray(0)
    }
}

internal fun StoredEntry.withValue(value: ByteArray) = StoredEntry(key, offset, value, era)
