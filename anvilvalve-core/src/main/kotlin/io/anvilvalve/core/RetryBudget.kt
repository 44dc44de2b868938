package io.anvilvalve.core

/**
 * Bounds retries to a share of requests so that retries cannot amplify an overload.
 *
 * @property share retries allowed per request.
 * @property reserve retries that may be saved up, so that a quiet host can still retry.
 */
internal class RetryBudget(private val share: Double = 0.1, private val reserve: Double = 10.0) {
    private var saved = reserve

    fun onRequest() {
        saved = minOf(reserve, saved + share)
    }

    fun tryRetry(): Boolean {
        if (saved < 1.0) return false
        saved -= 1.0
        return true
    }
}
