package io.anvilvalve.standins

/** Ids of the last [capacity] cancelled attempts, so that a cancel also holds if it arrives before its request. */
internal class CancelledAttempts(private val capacity: Int = 100_000) {
    private val ids = LinkedHashSet<String>()

    @Synchronized
    fun add(id: String) {
        ids.add(id)
        if (ids.size > capacity) ids.remove(ids.first())
    }

    @Synchronized
    operator fun contains(id: String): Boolean = id in ids
}
