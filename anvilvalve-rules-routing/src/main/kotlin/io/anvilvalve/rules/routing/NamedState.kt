package io.anvilvalve.rules.routing

import kotlin.time.Duration

/** The newest state that other hosts name, and since when this host has lacked it although it is named. */
internal class NamedState<T : Comparable<T>> {
    private var newest: T? = null
    private var namedAt = Duration.ZERO
    private var missingSince: Duration? = null

    /** Records that a message of another host names [state], while this host has [known]. */
    fun named(state: T, known: T, now: Duration) {
        val last = newest
        if (last == null || state >= last || now - namedAt >= RoutingTimes.SUMMARY_TIMEOUT) {
            newest = state
            namedAt = now
        }
        missingSince = if (isMissing(known)) missingSince ?: now else null
    }

    /** Records that a part of the state has arrived. */
    fun arrived(now: Duration) {
        missingSince = missingSince?.let { now }
    }

    /** Whether this host, which has [known], has waited for the named state for too long. */
    fun isOverdue(known: T, now: Duration): Boolean {
        val isNamed = now - namedAt < RoutingTimes.SUMMARY_TIMEOUT
        return isNamed && isMissing(known) && missingSince?.let { now - it > RoutingTimes.STATE_OVERDUE_TIME } == true
    }

    private fun isMissing(known: T): Boolean = newest?.let { it > known } == true
}
