package io.anvilvalve.standins

/** The last cancelled attempts, so that a cancel holds when it overtakes its request. */
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
