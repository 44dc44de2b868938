package io.anvilvalve.rules.scheduling

/**
 * Slots of a full decode server that will be free, with high probability, before a prefill result expires.
 *
 * A slot that is held through the whole prefill stands idle. Answers end at a rate that is the sum of the end chances of
 * the running ones, so the number that ends in a time window is close to Poisson distributed.
 */
internal object Overbooking {
    /** Expected ends within the window that make at least 1, 2, ... ends 99% sure. */
    private val MIN_EXPECTED_ENDS = doubleArrayOf(4.61, 6.64, 8.41, 10.05)

    /** Requests that may be placed beyond the free slots when [expected] answers will end in time. */
    fun allowed(expected: Double): Int = MIN_EXPECTED_ENDS.count { expected >= it }

    /** Most requests that may ever be placed beyond the slots of a server. */
    val LIMIT = MIN_EXPECTED_ENDS.size
}
