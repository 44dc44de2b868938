package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.KeyHash
import io.anvilvalve.api.id.PromptPartId
import io.anvilvalve.api.id.RequestId
import kotlin.time.Duration

/**
 * The properties of a caller's request that the routing rules need.
 *
 * @property id identifier that is unique within this host.
 * @property host host name without port, in lower case.
 * @property path path without query.
 * @property deadline time from arrival that the caller waits; null if the request does not state it.
 * @property promptTokens tokens of the prompt; null if the request does not state them.
 * @property outputTokens maximum number of output tokens.
 * @property expectedTokens the caller's estimate of the output tokens; null if the request does not state it.
 * @property attemptId id that the caller gave this attempt; null if there is none.
 * @property resumption what the caller resumes; null if it begins anew.
 * @property sharedParts parts of the prompt in their order, without the last, which belongs to the request alone.
 */
data class InboundRequest(
    val id: RequestId,
    val host: String,
    val path: String,
    val key: KeyHash? = null,
    val deadline: Duration? = null,
    val promptTokens: Int? = null,
    val outputTokens: Int = 0,
    val expectedTokens: Int? = null,
    val sharedParts: List<PromptPartId> = emptyList(),
    val attemptId: String? = null,
    val resumption: Resumption? = null,
)
