package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.result.ResultCode
import kotlin.time.Duration

/**
 * Outcome of a finished request, for the metrics.
 *
 * @property code result code of a refused or failed request; null if the complete answer was relayed.
 * @property started time from the arrival to the head of the answer; null if there was none.
 * @property lasted time from the arrival to the end of the request.
 * @property expected expected time of the latest call to a backend server; null if there was none.
 * @property isFar whether the latest call went to another region.
 * @property queued time from the arrival to the first call to a backend server, or to the end without one; null for a
 * request that was not admitted.
 * @property refusal why the request was refused for lack of capacity; null if it was not.
 */
data class RequestOutcome(
    val route: String?,
    val organisation: OrganisationId?,
    val code: ResultCode?,
    val started: Duration?,
    val lasted: Duration,
    val expected: Duration? = null,
    val isFar: Boolean = false,
    val queued: Duration? = null,
    val refusal: RefusalReason? = null,
)
