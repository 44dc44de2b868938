package io.anvilvalve.api

/**
 * Bounds retries to a share of requests so that retries cannot amplify an overload.
 *
 * @property ratio retries allowed per first attempt.
 * @property burst retries that may be saved up, so that a quiet host can still retry.
 */
class RetryBudget(private val ratio: Double = 0.1, private val burst: Double = 10.0) {
    private var balance = burst

    /** Counts a first attempt. */
    fun recordFirstAttempt() {
        balance = (balance + ratio).coerceAtMost(burst)
    }

    /** Takes a retry from the budget; false when there is none. */
    fun tryReserveRetry(): Boolean {
        if (balance < 1.0) return false
        balance -= 1.0
        return true
    }
}
