package io.anvilvalve.rules.routing

import kotlin.time.Duration

/**
 * What an answer of a backend server says about the server itself.
 *
 * @property leaving whether the server has announced that it leaves.
 * @property retryAfter time for which the server wants no calls from this host; null if it does not say.
 * @property load the server's own figures; null if it states none.
 * @property cold time for which the server remains cold; null if it does not say.
 */
data class ServerSignals(
    val leaving: Boolean = false,
    val retryAfter: Duration? = null,
    val load: ReportedLoad? = null,
    val cold: Duration? = null,
) {
    /** Whether the answer says nothing about the server. */
    val isEmpty: Boolean get() = this == NONE

    companion object {
        /** Signals of an answer without any. */
        val NONE: ServerSignals = ServerSignals()
    }
}
