package io.anvilvalve.rules.scheduling

/**
 * Limits the requests placed beyond the slots of a decode server to the number of slots that become free, with 99%
 * probability, before the prefill result expires.
 *
 * Without overbooking, a decode slot is reserved during the whole prefill and idle for that time. Answers end at a rate
 * equal to the sum of the end probabilities of the running answers, so the number of ends in a time window is close to
 * Poisson distributed.
 */
internal object Overbooking {
    /** Expected number of ends within the window at which at least 1, 2, ... ends have a probability of 99%. */
    private val MIN_EXPECTED_ENDS = doubleArrayOf(4.61, 6.64, 8.41, 10.05)

    /** Number of requests that may be placed beyond the free slots when [expected] ends are predicted in time. */
    fun allowed(expected: Double): Int = MIN_EXPECTED_ENDS.count { expected >= it }

    /** Upper bound on the requests placed beyond the slots of a server. */
    val LIMIT = MIN_EXPECTED_ENDS.size
}
