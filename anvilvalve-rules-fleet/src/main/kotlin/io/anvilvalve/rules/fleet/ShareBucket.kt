package io.anvilvalve.rules.fleet

import kotlin.time.Duration

/**
 * Token bucket of one share at its owner, in micro-tokens.
 *
 * Granted tokens stay in [held] until no host can spend them. Refills keep [level] plus [held] within the capacity. A
 * refund of tokens spent at some position is capped by the smallest headroom since then: if the request had been
 * charged only its actual use, the bucket would have overflowed by the rest.
 */
internal class ShareBucket(limit: ShareLimit, clock: Duration) {
    private class Headroom(val position: Long, var micros: Long)

    private val headroomMinima = ArrayDeque<Headroom>()
    private var refilledAt = clock
    private var lastPosition = 0L

    var limit: ShareLimit = limit
        private set

    var level: Long = 0
        private set

    var held: Long = 0
        private set

    /** Number of the latest headroom entry; a refund passes the position at which its tokens were spent. */
    val position: Long get() = lastPosition

    /** Available whole tokens. */
    val tokens: Long get() = level / ShareLayout.MICROS

    private val headroom: Long get() = maxOf(0, limit.capMicros - level - held)

    /** Adds the tokens since the last refill; [clock] counts only the time during which the host was current. */
    fun refill(clock: Duration) {
        val elapsed = (clock - refilledAt).inWholeMicroseconds
        if (elapsed <= 0) return
        refilledAt = clock
        level += minOf(headroom, refillOf(elapsed))
    }

    fun changeLimit(next: ShareLimit) {
        limit = next
        level = minOf(level, maxOf(0, next.capMicros - held))
        headroomMinima.clear()
        headroomMinima.addLast(Headroom(++lastPosition, 0))
    }

    /** Spends up to [wanted] whole tokens and returns the number spent. */
    fun spend(wanted: Long): Long {
        val taken = minOf(wanted, tokens)
        if (taken > 0) recordHeadroom()
        level -= taken * ShareLayout.MICROS
        return taken
    }

    /** Moves up to [wanted] whole tokens to [held] and returns their number. */
    fun hold(wanted: Long): Long {
        val taken = minOf(wanted, tokens)
        level -= taken * ShareLayout.MICROS
        held += taken * ShareLayout.MICROS
        return taken
    }

    /** Holds all the headroom for tokens that an earlier owner may have granted; returns it in micro-tokens. */
    fun holdAll(): Long {
        val micros = headroom
        held += micros
        return micros
    }

    /** Releases a hold of [micros] micro-tokens, which count as spent from now on. */
    fun release(micros: Long) {
        if (micros > 0) recordHeadroom()
        held -= micros
    }

    /** Moves [amount] tokens from [held] back to [level]. */
    fun cancelHold(amount: Long) {
        held -= amount * ShareLayout.MICROS
        level += amount * ShareLayout.MICROS
    }

    /** Refunds up to [amount] tokens that were spent at position [since]. */
    fun refund(amount: Long, since: Long) {
        val minHeadroom = headroomMinima.firstOrNull { it.position > since }?.micros ?: Long.MAX_VALUE
        val micros = minOf(amount * ShareLayout.MICROS, minHeadroom, headroom)
        if (micros <= 0) return
        level += micros
        val later = headroomMinima.filter { it.position > since }
        later.forEach { it.micros -= micros }
        val smallest = later.firstOrNull()?.micros ?: return
        headroomMinima.removeAll { it.position <= since && it.micros >= smallest }
    }

    private fun refillOf(elapsedMicros: Long): Long {
        val rate = limit.microsPerSecond / REFILL_REDUCTION * (REFILL_REDUCTION - 1)
        val seconds = elapsedMicros / MICROS_PER_SECOND
        return when {
            rate == 0L -> 0
            seconds > limit.capMicros / rate -> limit.capMicros
            else -> seconds * rate + elapsedMicros % MICROS_PER_SECOND * rate / MICROS_PER_SECOND
        }
    }

    /** Records the headroom before it grows; the recorded values rise from the oldest entry to the newest. */
    private fun recordHeadroom() {
        val micros = headroom
        while (headroomMinima.lastOrNull()?.let { it.micros >= micros } == true) headroomMinima.removeLast()
        headroomMinima.addLast(Headroom(++lastPosition, micros))
        if (headroomMinima.size > MAX_HEADROOM_ENTRIES) mergeOldest()
    }

    private fun mergeOldest() {
        val first = headroomMinima.removeFirst()
        val second = headroomMinima.removeFirst()
        headroomMinima.addFirst(Headroom(second.position, first.micros))
    }

    private companion object {
        const val MICROS_PER_SECOND = 1_000_000L

        /** The clock of a host may run 0.5% fast; refilling 1/200 less keeps the rate below the limit. */
        const val REFILL_REDUCTION = 200

        const val MAX_HEADROOM_ENTRIES = 64
    }
}
