package io.anvilvalve.standins

import kotlin.time.Duration

/**
 * Slots and KV memory of an engine, and the attempts that wait for them.
 *
 * A lower priority number is served first. Every method is safe for use by many threads.
 *
 * @param onChange receives the usage after each change, within the lock.
 */
internal class EngineScheduler(private val config: EngineConfig, private val onChange: (EngineUsage) -> Unit) {
    private val attempts = LinkedHashMap<String, MutableList<Attempt>>()
    private val waiting = sortedSetOf(compareBy<Attempt>({ it.priority }, { it.arrival }))
    private var decoding = 0
    private var prefilling = 0
    private var pieces = 0
    private var arrivals = 0L

    var peakSlots = 0
        private set
    var peakPieces = 0
        private set

    /** Enters an attempt; null when too many wait or the same attempt is already in this phase. */
    @Synchronized
    fun enqueue(id: String, prefill: Boolean, pieces: Int, priority: Int): Attempt? {
        val known = attempts[id].orEmpty()
        if (waiting.size >= config.queueLimit || known.any { it.prefill == prefill }) return null
        val attempt = Attempt(id, prefill, pieces, priority, arrivals++)
        attempts.getOrPut(id) { mutableListOf() } += attempt
        waiting += attempt
        admitWaiting()
        return attempt
    }

    /** Frees the slot of a finished prefill and keeps its memory until [expiresAt]; false when it ended before. */
    @Synchronized
    fun export(attempt: Attempt, expiresAt: Duration): Boolean {
        if (attempt.terminationReason != null) return false
        attempt.expiresAt = expiresAt
        freeSlot(attempt)
        admitWaiting()
        return true
    }

    /** Extends the life of the exported attempt [id]; null when it is gone. */
    @Synchronized
    fun extend(id: String, expiresAt: Duration): Attempt? =
        attempts[id]?.firstOrNull { it.expiresAt != null }?.also { it.expiresAt = expiresAt }

    /** Frees the exported attempt [id]; false when it is gone. */
    @Synchronized
    fun releaseExport(id: String): Boolean {
        val attempt = attempts[id]?.firstOrNull { it.expiresAt != null } ?: return false
        free(attempt)
        admitWaiting()
        return true
    }

    /** Frees everything that [attempt] holds; does nothing when it holds nothing. */
    @Synchronized
    fun release(attempt: Attempt) {
        free(attempt)
        admitWaiting()
    }

    /** Ends and frees all attempts named [id]. */
    @Synchronized
    fun terminate(id: String, reason: Termination) {
        attempts[id]?.toList()?.forEach { attempt ->
            attempt.terminate(reason)
            free(attempt)
        }
        admitWaiting()
    }

    /** Ends and frees all attempts. */
    @Synchronized
    fun terminateAll(reason: Termination) {
        waiting.clear()
        attempts.keys.toList().forEach { terminate(it, reason) }
    }

    /** Drops exported results whose time has passed at [now]. */
    @Synchronized
    fun expire(now: Duration) {
        val expired = attempts.values.flatten().filter { attempt -> attempt.expiresAt?.let { it <= now } ?: false }
        if (expired.isEmpty()) return
        expired.forEach(::free)
        admitWaiting()
    }

    /** Returns the time at which the next exported result is dropped; null when there is none. */
    @Synchronized
    fun nextExpiry(): Duration? = attempts.values.flatten().mapNotNull { it.expiresAt }.minOrNull()

    /** Returns the attempts that hold memory. */
    @Synchronized
    fun held(): List<String> = attempts.values.flatten().filter { it.holdsMemory }.map { it.id }

    private fun admitWaiting() {
        var prefillBlocked = false
        var decodeBlocked = false
        val iterator = waiting.iterator()
        while (iterator.hasNext() && !(prefillBlocked && decodeBlocked)) {
            val attempt = iterator.next()
            val blocked = if (attempt.prefill) prefillBlocked else decodeBlocked
            when {
                !blocked && fits(attempt) -> {
                    iterator.remove()
                    admit(attempt)
                }

                attempt.prefill -> prefillBlocked = true

                else -> decodeBlocked = true
            }
        }
        onChange(EngineUsage(decoding + prefilling, waiting.size, pieces))
    }

    private fun fits(attempt: Attempt): Boolean {
        val slotFree = if (attempt.prefill) prefilling < config.prefillSlots else decoding < config.slots
        return slotFree && pieces + attempt.pieces <= config.kvPieces
    }

    private fun admit(attempt: Attempt) {
        if (attempt.prefill) prefilling++ else decoding++
        pieces += attempt.pieces
        attempt.holdsSlot = true
        attempt.holdsMemory = true
        peakSlots = maxOf(peakSlots, decoding)
        peakPieces = maxOf(peakPieces, pieces)
        attempt.admitted.complete(true)
    }

    private fun free(attempt: Attempt) {
        waiting -= attempt
        freeSlot(attempt)
        if (attempt.holdsMemory) pieces -= attempt.pieces
        attempt.holdsMemory = false
        val others = attempts[attempt.id] ?: return
        others -= attempt
        if (others.isEmpty()) attempts -= attempt.id
    }

    private fun freeSlot(attempt: Attempt) {
        if (!attempt.holdsSlot) return
        attempt.holdsSlot = false
        if (attempt.prefill) prefilling-- else decoding--
    }
}
