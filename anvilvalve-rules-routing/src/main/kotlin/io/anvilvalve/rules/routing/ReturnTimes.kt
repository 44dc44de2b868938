package io.anvilvalve.rules.routing

import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Times after which refused callers should come back. */
internal class ReturnTimes(private val random: Random) {
    /**
     * Time after which a caller should come back that has [timeLeft] until its deadline and for which there is capacity
     * after [wait].
     *
     * Callers that are refused together are spread over an interval of half the wait. None is asked for more than a
     * third of its time, because callers heed no more.
     */
    fun after(wait: Duration, timeLeft: Duration): Duration {
        val longest = maxOf(timeLeft / HEEDED_DIVISOR, SHORTEST)
        val earliest = minOf(wait.coerceIn(SHORTEST, LONGEST), longest)
        val spread = maxOf(earliest / 2, LEAST_SPREAD)
        val start = maxOf(minOf(earliest, longest - spread), minOf(SHORTEST, longest))
        return minOf(start + spread * random.nextDouble(), longest)
    }

    private companion object {
        const val HEEDED_DIVISOR = 3

        /** Below this, callers would come back before their refusal has changed anything. */
        val SHORTEST = 200.milliseconds
        val LEAST_SPREAD = 100.milliseconds

        /** A burst is over within this time, and a server that is lost has been replaced or has come back. */
        val LONGEST = 4_000.milliseconds
    }
}
