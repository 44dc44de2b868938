package io.anvilvalve.api

/**
 * Bounds retries to a share of requests so that retries cannot amplify an overload.
 *
 * @property ratio retries allowed per first attempt.
 * @property burst maximum of unused retries that accumulate, so that a host with little traffic can still retry.
 */
class RetryBudget(private val ratio: Double = 0.1, private val burst: Double = 10.0) {
    private var balance = burst

    /** Counts a first attempt, which adds [ratio] retries to the budget, up to [burst]. */
    fun recordFirstAttempt() {
        balance = (balance + ratio).coerceAtMost(burst)
    }

    /** Deducts one retry from the budget; false when less than one is left. */
    fun tryReserveRetry(): Boolean {
        if (balance < 1.0) return false
        balance -= 1.0
        return true
    }
}
