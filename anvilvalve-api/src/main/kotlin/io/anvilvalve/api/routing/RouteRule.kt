package io.anvilvalve.api.routing

import io.anvilvalve.api.id.RegionId
import kotlin.time.Duration

/**
 * Routes the requests for a host name and path prefix to services.
 *
 * @property pathPrefix begins and ends with a slash.
 * @property timeout longest time from the arrival of a request to the end of its answer.
 * @property objective target for the time to the answer, or to the first event of a stream.
 * @property priority rank of the requests; 0 is the most urgent.
 * @property maxAttempts maximum number of backend servers on which one request may run.
 * @property open whether requests need no key.
 * @property allowedRegions regions to which requests may be sent; empty if there is no such limit.
 * @property targetGap longest pause between two events of a stream that the route aims at; null if it has none.
 * @property resumable whether an interrupted stream may be resumed on another backend server.
 */
data class RouteRule(
    val name: String,
    val host: String,
    val pathPrefix: String,
    val kind: RequestKind,
    val timeout: Duration,
    val objective: Duration,
    val priority: Int,
    val targets: List<WeightedTarget>,
    val maxAttempts: Int = 1,
    val open: Boolean = false,
    val resumable: Boolean = false,
    val allowedRegions: Set<RegionId> = emptySet(),
    val targetGap: Duration? = null,
) {
    /** Whether a request may be sent again after it may have run. */
    val repeatable: Boolean get() = kind == RequestKind.IDEMPOTENT || (kind == RequestKind.STREAM && resumable)
}
