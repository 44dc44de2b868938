package io.anvilvalve.bench.limits

import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Token bucket that sees all requests of one organisation; the reference for refusals and for the ceiling on use. */
internal class CentralBucket(private val rate: Double, private val burst: Double) {
    private var lastRefill = Duration.ZERO

    var level = burst
        private set

    /** Removes [tokens], even if the level falls below zero. */
    fun consume(tokens: Double, now: Duration) {
        level = minOf(burst, level + rate * (now - lastRefill).toDouble(DurationUnit.SECONDS)) - tokens
        lastRefill = now
    }

    /** Removes [tokens] if the bucket holds them, and returns whether it did. */
    fun tryConsume(tokens: Double, now: Duration): Boolean {
        consume(0.0, now)
        if (level < tokens) return false
        consume(tokens, now)
        return true
    }
}
