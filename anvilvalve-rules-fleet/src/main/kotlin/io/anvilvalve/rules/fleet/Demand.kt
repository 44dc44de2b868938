package io.anvilvalve.rules.fleet

import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Tokens per second that requests of an organisation need at this host, as an exponentially weighted average. */
internal class Demand {
    private var windowTokens = 0L
    private var windowEnd = WINDOW

    var tokensPerSecond: Long = 0
        private set

    fun record(tokens: Long) {
        windowTokens += tokens
    }

    /** Closes the current window when it has ended. */
    fun advance(now: Duration) {
        if (now < windowEnd) return
        tokensPerSecond = (tokensPerSecond * (SMOOTHING - 1) + windowTokens * WINDOWS_PER_SECOND) / SMOOTHING
        windowTokens = 0
        windowEnd = now + WINDOW
    }

    private companion object {
        val WINDOW = 500.milliseconds
        const val WINDOWS_PER_SECOND = 2

        /** Reciprocal of the weight of the latest window in the average. */
        const val SMOOTHING = 4
    }
}
