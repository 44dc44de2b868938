package io.anvilvalve.bench.limits

import kotlin.time.Duration
import kotlin.time.DurationUnit

/** One bucket that sees all requests of an organisation at once; the comparison for refusals and for the ceiling. */
internal class CentralBucket(private val rate: Double, private val burst: Double) {
    private var lastRefill = Duration.ZERO

    var level = burst
        private set

    /** Takes [tokens] even when the level falls below zero. */
    fun consume(tokens: Double, now: Duration) {
        level = minOf(burst, level + rate * (now - lastRefill).toDouble(DurationUnit.SECONDS)) - tokens
        lastRefill = now
    }

    /** Takes [tokens] when the bucket holds them. */
    fun tryConsume(tokens: Double, now: Duration): Boolean {
        consume(0.0, now)
        if (level < tokens) return false
        consume(tokens, now)
        return true
    }
}
