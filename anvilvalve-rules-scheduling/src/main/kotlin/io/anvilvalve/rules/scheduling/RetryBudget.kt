package io.anvilvalve.rules.scheduling

/** Allows retries as a share [ratio] of first attempts, with up to [burst] saved up. */
internal class RetryBudget(private val ratio: Double, private val burst: Double) {
    private var balance = burst

    fun firstAttempt() {
        balance = (balance + ratio).coerceAtMost(burst)
    }

    fun tryRetry(): Boolean {
        if (balance < 1.0) return false
        balance -= 1.0
        return true
    }
}
