package io.anvilvalve.rules.scheduling

import io.anvilvalve.api.port.CacheEvent

/**
 * Estimated content of the prefix cache of one prefill server.
 *
 * Events may be late, repeated or missing. Each gap in the sequence numbers halves the weight of every older entry,
 * until the entry is reported again.
 */
internal class PrefixIndex(private val capacity: Int = DEFAULT_CAPACITY) {
    private val entries = object : LinkedHashMap<Long, Int>(INITIAL_SIZE, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<Long, Int>): Boolean = size > capacity
    }
    private var sequence = -1L
    private var generation = 0

    /** Applies cache events in the order of their sequence numbers; ignores events not newer than the last one. */
    fun applyEvents(events: List<CacheEvent>) = events.forEach(::applyEvent)

    private fun applyEvent(event: CacheEvent) {
        if (event.sequence <= sequence) return
        if (sequence >= 0 && event.sequence != sequence + 1) generation++
        sequence = event.sequence
        if (event.stored) entries[event.prefixHash] = generation else entries.remove(event.prefixHash)
    }

    /** Adds the prefixes of a finished prefill, which the server now has in its cache. */
    fun recordPrefill(hashes: List<Long>) = hashes.forEach { entries[it] = generation }

    /** Expected number of leading KV pieces among [hashes] that the server has in its cache. */
    fun expectedHits(hashes: List<Long>): Double {
        if (entries.isEmpty()) return 0.0
        var hits = 0.0
        for (hash in hashes) {
            val seen = entries[hash] ?: break
            hits += if (seen == generation) 1.0 else 1.0 / (1 shl (generation - seen).coerceAtMost(MAX_HALVINGS))
        }
        return hits
    }

    fun clear() = entries.clear()

    private companion object {
        const val DEFAULT_CAPACITY = 4_096
        const val INITIAL_SIZE = 64
        const val LOAD_FACTOR = 0.75f
        const val MAX_HALVINGS = 20
    }
}
