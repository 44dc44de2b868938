package io.anvilvalve.host

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Bounds on the connections of one listener.
 *
 * @property maxConnections maximum number of connections; further ones wait until one is closed.
 * @property maxHeaderFields maximum number of fields in the header of a request.
 * @property headerTimeout time from the first byte of a request within which its header must arrive.
 * @property crowdedIdleTime idle time after which connections are closed while most of [maxConnections] are open.
 * @property crowdedAge age at which connections are closed while most of [maxConnections] are open, whatever they do;
 * null for none.
 */
internal class ConnectionBounds(
    val maxConnections: Int,
    val reports: LimitReports,
    val maxHeaderFields: Int = 256,
    val crowdedIdleTime: Duration = 1.seconds,
    val crowdedAge: Duration? = null,
    val headerTimeout: () -> Duration = { 3.seconds },
) {
    /** Number of connections from which idle ones are closed. */
    val crowd: Int get() = maxConnections - maxConnections / CROWD_SHARE

    private companion object {
        const val CROWD_SHARE = 8
    }
}
