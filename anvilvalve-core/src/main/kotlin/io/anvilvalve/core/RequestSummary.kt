package io.anvilvalve.core

import io.anvilvalve.api.id.ModelId
import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.peer.WorkClass
import io.anvilvalve.api.result.ResultCode
import kotlin.time.Duration

/**
 * Metrics of one request.
 *
 * @property model model name, or the route for a plain service.
 * @property code null when the answer was complete.
 * @property firstToken time from arrival to the first token, or to the end of a service call.
 * @property meanGap mean time between tokens after the first.
 * @property prefillTokens tokens prefilled over all attempts: the prompt and, in a resumed stream, delivered tokens.
 * @property wastedPrefillTokens prompt tokens whose prefill result was not decoded.
 * @property refusedWithinRate whether the request was refused although the organisation was within its rate.
 */
data class RequestSummary(
    val organisation: OrganisationId?,
    val model: ModelId,
    val workClass: WorkClass,
    val code: ResultCode?,
    val tokens: Int = 0,
    val firstToken: Duration? = null,
    val meanGap: Duration? = null,
    val prefillTokens: Int = 0,
    val wastedPrefillTokens: Int = 0,
    val refusedWithinRate: Boolean = false,
)
