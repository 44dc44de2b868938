package io.anvilvalve.standins

import kotlin.time.Duration

/**
 * Admits the attempts of an engine to its slots and KV memory, and queues those that do not fit.
 *
 * Lower priority numbers are admitted first. All methods are thread-safe.
 *
 * @param onChange receives the usage after each change; called while the lock is held.
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

    /** Queues an attempt; returns null if the queue is full or the same attempt is already in this phase. */
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

    /** Frees the slot of a finished prefill, keeps its memory until [expiresAt]; false if it was terminated. */
    @Synchronized
    fun export(attempt: Attempt, expiresAt: Duration): Boolean {
        if (attempt.terminationReason != null) return false
        attempt.expiresAt = expiresAt
        freeSlot(attempt)
        admitWaiting()
        return true
    }

    /** Sets the expiry of the exported attempt [id] to [expiresAt]; returns null if it was already freed. */
    @Synchronized
    fun extend(id: String, expiresAt: Duration): Attempt? =
        attempts[id]?.firstOrNull { it.expiresAt != null }?.also { it.expiresAt = expiresAt }

    /** Frees the exported attempt [id]; returns false if it was already freed. */
    @Synchronized
    fun releaseExport(id: String): Boolean {
        val attempt = attempts[id]?.firstOrNull { it.expiresAt != null } ?: return false
        free(attempt)
        admitWaiting()
        return true
    }

    /** Removes [attempt] from the queue and frees its slot and memory, if it holds any. */
    @Synchronized
    fun release(attempt: Attempt) {
        free(attempt)
        admitWaiting()
    }

    /** Terminates the attempt [id] in each of its phases and frees its slots and memory. */
    @Synchronized
    fun terminate(id: String, reason: Termination) {
        attempts[id]?.toList()?.forEach { attempt ->
            attempt.terminate(reason)
            free(attempt)
        }
        admitWaiting()
    }

    /** Terminates all attempts and frees their slots and memory. */
    @Synchronized
    fun terminateAll(reason: Termination) {
        waiting.clear()
        attempts.keys.toList().forEach { terminate(it, reason) }
    }

    /** Frees the exported results that have expired at [now]. */
    @Synchronized
    fun expire(now: Duration) {
        val expired = attempts.values.flatten().filter { attempt -> attempt.expiresAt?.let { it <= now } ?: false }
        if (expired.isEmpty()) return
        expired.forEach(::free)
        admitWaiting()
    }

    /** Returns the time at which the next exported result expires, or null if there is none. */
    @Synchronized
    fun nextExpiry(): Duration? = attempts.values.flatten().mapNotNull { it.expiresAt }.minOrNull()

    /** Returns the ids of the attempts that hold memory. */
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
