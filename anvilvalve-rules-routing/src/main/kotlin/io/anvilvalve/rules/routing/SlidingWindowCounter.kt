package io.anvilvalve.rules.routing

import kotlin.time.Duration

/**
 * Counts amounts in the last [window] and up to one slice before it, so that the sum is never below the amount in the
 * last [window].
 */
internal class SlidingWindowCounter(window: Duration) {
    private val slice = window / (SLICES - 1)
    private val counts = DoubleArray(SLICES)
    private var current = 0L
    private var total = 0.0

    fun add(amount: Double, now: Duration) {
        advance(now)
        addTo(current, amount)
    }

    /** Adds [amount] spread evenly over the window. */
    fun addEvenly(amount: Double, now: Duration) {
        advance(now)
        for (age in 0 until SLICES) addTo(current - age, amount / SLICES)
    }

    /**
     * Removes up to [amount] that was added about [addedAt], so that no slice falls below zero. What its slice lacks is
     * taken from later ones, because reports of other hosts are added late, and then from earlier ones.
     */
    fun remove(amount: Double, addedAt: Duration, now: Duration) {
        advance(now)
        val first = (addedAt / slice).toLong()
        val oldest = current - SLICES + 1
        if (first < oldest) return
        var left = amount
        for (number in (first..current) + (first - 1 downTo oldest)) {
            val removed = minOf(left, counts[slot(number)])
            addTo(number, -removed)
            left -= removed
        }
    }

    /** Adds [amounts] of slices, newest first; the newest is added to the current slice. */
    fun restore(amounts: List<Long>, now: Duration) {
        advance(now)
        amounts.take(SLICES).forEachIndexed { age, amount -> addTo(current - age, amount.toDouble()) }
    }

    /** Amounts of the slices, newest first. */
    fun slices(now: Duration): List<Long> {
        advance(now)
        return (0 until SLICES).map { age -> counts[slot(current - age)].toLong() }
    }

    fun clear() {
        counts.fill(0.0)
        total = 0.0
    }

    fun sum(now: Duration): Double {
        advance(now)
        return total
    }

    private fun advance(now: Duration) {
        val slot = (now / slice).toLong()
        if (slot - current >= SLICES) {
            clear()
            current = slot
        }
        while (current < slot) {
            current++
            total -= counts[slot(current)]
            counts[slot(current)] = 0.0
        }
    }

    private fun addTo(number: Long, amount: Double) {
        counts[slot(number)] += amount
        total += amount
    }

    private fun slot(number: Long): Int = number.mod(SLICES)

    private companion object {
        /** The current slice and 32 complete ones. With 19 complete slices of 20, two bursts fitted into one window. */
        const val SLICES = 33
    }
}
