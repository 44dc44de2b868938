package io.anvilvalve.api.release

import io.anvilvalve.api.id.OrganisationId
import kotlinx.serialization.Serializable

/**
 * An organisation and its limits across all hosts.
 *
 * @property rate tokens per second.
 * @property burst tokens that may be used at once after a pause.
 * @property maxTokens upper bound on `max_tokens` of one request.
 */
@Serializable
data class Organisation(val id: OrganisationId, val rate: Long, val burst: Long, val maxTokens: Int = 4_096)
