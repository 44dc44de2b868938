package io.anvilvalve.standins

import io.anvilvalve.api.port.CacheEvent
import kotlin.time.Duration

/** LRU prefix cache that publishes an event for each piece stored or evicted. */
internal class PrefixCache(
    private val capacity: Int,
    private val eventLag: Duration,
    private val loseEvent: () -> Boolean,
) {
    private class PublishedEvent(val event: CacheEvent, val at: Duration)

    private val pieces = LinkedHashSet<Long>()
    private val events = ArrayDeque<PublishedEvent>()
    private var sequence = 0L

    /** Returns the number of leading [hashes] that are cached. */
    @Synchronized
    fun match(hashes: List<Long>): Int = hashes.takeWhile { it in pieces }.size

    /** Stores [hashes] and marks them as most recently used. */
    @Synchronized
    fun store(hashes: List<Long>, now: Duration) {
        for (hash in hashes.take(capacity)) {
            val alreadyCached = pieces.remove(hash)
            pieces.add(hash)
            if (!alreadyCached) publish(stored = true, hash, now)
            if (pieces.size > capacity) evictOldest(now)
        }
    }

    /** Removes all pieces and events, as a restart does. */
    @Synchronized
    fun clear() {
        pieces.clear()
        events.clear()
    }

    /** Returns the events after sequence number [after] that are readable at [now]. */
    @Synchronized
    fun events(after: Long, now: Duration): List<CacheEvent> =
        events.filter { it.event.sequence > after && it.at + eventLag <= now }.map { it.event }

    private fun evictOldest(now: Duration) {
        val oldest = pieces.first()
        pieces.remove(oldest)
        publish(stored = false, oldest, now)
    }

    private fun publish(stored: Boolean, hash: Long, now: Duration) {
        val event = CacheEvent(++sequence, stored, hash)
        if (loseEvent()) return
        events.addLast(PublishedEvent(event, now))
        if (events.size > MAX_RETAINED_EVENTS) events.removeFirst()
    }

    private companion object {
        const val MAX_RETAINED_EVENTS = 1_024
    }
}
