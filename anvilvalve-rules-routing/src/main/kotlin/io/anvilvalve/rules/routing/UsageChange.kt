package io.anvilvalve.rules.routing

import io.anvilvalve.api.peer.SharedUsage
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Tokens that a host [admitted] and [released] between two of its reports.
 *
 * @property releasedAge mean time between the admission of the released tokens and their release.
 */
internal class UsageChange(val admitted: Long, val released: Long, val releasedAge: Duration) {
    /** Admitted tokens that were not released. */
    val kept: Long get() = admitted - released

    companion object {
        /** Change from [before], or from the beginning of the count if it is null; null if the count is lower than before. */
        fun between(before: SharedUsage?, now: SharedUsage): UsageChange? {
            val released = now.released - (before?.released ?: 0)
            val admitted = now.admitted + now.released - (before?.let { it.admitted + it.released } ?: 0)
            if (admitted < 0 || released < 0) return null
            val tokenMillis = now.releasedTokenMillis - (before?.releasedTokenMillis ?: 0)
            val age = if (released > 0) (tokenMillis / released).milliseconds else Duration.ZERO
            return UsageChange(admitted, released, age)
        }
    }
}
