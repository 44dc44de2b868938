package io.anvilvalve.rules.fleet

import kotlin.time.Duration

/**
 * Token bucket of one share at its owner, in micro-tokens.
 *
 * Granted tokens stay in [held] until no host can spend them any more, and level plus held never exceed the capacity.
 * A refund of tokens that left [held] at some position may not exceed the smallest headroom since then: the bucket would
 * have overflowed by the rest if the request had been charged its true use at once.
 */
internal class ShareBucket(limit: ShareLimit, clock: Duration) {
    private class Headroom(val order: Long, var micros: Long)

    private val headroomMinima = ArrayDeque<Headroom>()
    private var refilledAt = clock
    private var order = 0L

    var limit: ShareLimit = limit
        private set

    var level: Long = 0
        private set

    var held: Long = 0
        private set

    /** Position in the history of the bucket; a refund names the position of its spending. */
    val position: Long get() = order

    /** Whole tokens that can be taken. */
    val tokens: Long get() = level / ShareLayout.MICROS

    private val headroom: Long get() = maxOf(0, limit.capMicros - level - held)

    /** Adds the tokens of the time since the last refill; [clock] counts only time in which the host was current. */
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
        headroomMinima.addLast(Headroom(++order, 0))
    }

    /** Takes up to [wanted] whole tokens for use at once. */
    fun spend(wanted: Long): Long {
        val taken = minOf(wanted, tokens)
        if (taken > 0) recordHeadroom()
        level -= taken * ShareLayout.MICROS
        return taken
    }

    /** Takes up to [wanted] whole tokens and keeps the space for them. */
    fun hold(wanted: Long): Long {
        val taken = minOf(wanted, tokens)
        level -= taken * ShareLayout.MICROS
        held += taken * ShareLayout.MICROS
        return taken
    }

    /** Keeps all the free space, for tokens that an earlier owner may have granted. */
    fun holdAll(): Long {
        val micros = headroom
        held += micros
        return micros
    }

    /** Ends the hold of [micros], which count as spent from now on. */
    fun release(micros: Long) {
        if (micros > 0) recordHeadroom()
        held -= micros
    }

    /** Puts back [amount] tokens that are still held. */
    fun cancelHold(amount: Long) {
        held -= amount * ShareLayout.MICROS
        level += amount * ShareLayout.MICROS
    }

    /** Puts back up to [amount] tokens that count as spent since the position [since]. */
    fun refund(amount: Long, since: Long) {
        val minHeadroom = headroomMinima.firstOrNull { it.order > since }?.micros ?: Long.MAX_VALUE
        val micros = minOf(amount * ShareLayout.MICROS, minHeadroom, headroom)
        if (micros <= 0) return
        level += micros
        val later = headroomMinima.filter { it.order > since }
        later.forEach { it.micros -= micros }
        val smallest = later.firstOrNull()?.micros ?: return
        headroomMinima.removeAll { it.order <= since && it.micros >= smallest }
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

    /** Remembers the headroom before it grows; entries rise from front to back. */
    private fun recordHeadroom() {
        val micros = headroom
        while (headroomMinima.lastOrNull()?.let { it.micros >= micros } == true) headroomMinima.removeLast()
        headroomMinima.addLast(Headroom(++order, micros))
        if (headroomMinima.size > MAX_HEADROOM_ENTRIES) mergeOldest()
    }

    private fun mergeOldest() {
        val first = headroomMinima.removeFirst()
        val second = headroomMinima.removeFirst()
        headroomMinima.addFirst(Headroom(second.order, first.micros))
    }

    private companion object {
        const val MICROS_PER_SECOND = 1_000_000L

        /** The clock of a host may be 0.5% fast; refilling by 1/200 less keeps the rate below the limit. */
        const val REFILL_REDUCTION = 200

        const val MAX_HEADROOM_ENTRIES = 64
    }
}
