package io.anvilvalve.api.routing

/**
 * Age of an entry by the backend server's own count, which a restore of the store does not change.
 *
 * @property startedAtMillis wall-clock time of the start of the backend server.
 * @property heartbeats heartbeats since that start, when the entry was written.
 */
data class BackendRevision(val startedAtMillis: Long, val heartbeats: Long) : Comparable<BackendRevision> {
    override fun compareTo(other: BackendRevision): Int =
        compareValuesBy(this, other, { it.startedAtMillis }, { it.heartbeats })
}
