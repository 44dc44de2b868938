package io.anvilvalve.rules.scheduling

/**
 * Circuit breaker of one backend server.
 *
 * During recovery the concurrency limit starts at one, for the probe, and doubles with every success, so that a server
 * that has just recovered does not receive the whole backlog at once.
 */
internal class CircuitBreaker(private val settings: BreakerSettings) {
    private var failures = 0
    private var openUntil = 0L
    private var openings = 0
    private var concurrencyLimit = Int.MAX_VALUE

    /** Whether the breaker is closed; false while it is open or half open. */
    var healthy = true
        private set

    /** Maximum number of requests at the server at [now]: none while open, one while half open. */
    fun concurrencyLimit(now: Long): Int = when {
        healthy -> concurrencyLimit
        now < openUntil -> 0
        else -> 1
    }

    /** Records a success; returns true when the breaker closes. */
    fun recordSuccess(): Boolean {
        failures = 0
        if (healthy) {
            if (concurrencyLimit < FULL_CONCURRENCY) concurrencyLimit *= 2 else finishRecovery()
            return false
        }
        healthy = true
        concurrencyLimit = 2
        return true
    }

    /** Records a failure at [now]; returns true when the breaker opens from closed. */
    fun recordFailure(now: Long): Boolean {
        failures++
        val opens = healthy && (failures >= settings.threshold || concurrencyLimit < FULL_CONCURRENCY)
        if (opens || (!healthy && now >= openUntil)) open(now)
        return opens
    }

    private fun open(now: Long) {
        val limit = settings.openTimeLimit.inWholeMicroseconds
        val wait = settings.openTime.inWholeMicroseconds shl openings.coerceAtMost(MAX_DOUBLINGS)
        openUntil = now + wait.coerceAtMost(limit)
        openings++
        healthy = false
    }

    private fun finishRecovery() {
        concurrencyLimit = Int.MAX_VALUE
        openings = 0
    }

    private companion object {
        /** Limit at which a recovering server counts as recovered and its concurrency is no longer limited. */
        const val FULL_CONCURRENCY = 64
        const val MAX_DOUBLINGS = 10
    }
}
