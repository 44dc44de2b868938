package io.anvilvalve.api.peer

import io.anvilvalve.api.id.AdapterId
import io.anvilvalve.api.id.DataCentreId
import io.anvilvalve.api.id.HostId
import io.anvilvalve.api.id.ModelId
import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.id.RequestId
import kotlinx.serialization.Serializable

/**
 * What the scheduler of a pool needs to know of a request.
 *
 * @property origin host that accepted the request and streams the answer.
 * @property promptTokens length of the prompt in tokens.
 * @property maxTokens upper bound on generated tokens.
 * @property prefixHashes hashes of the prompt's prefixes, one for each full KV piece, shortest first.
 * @property firstTokenBudgetMicros time left for the first token when the item was sent, in microseconds.
 */
@Serializable
data class WorkItem(
    val id: RequestId,
    val origin: HostId,
    val originDataCentre: DataCentreId,
    val organisation: OrganisationId,
    val model: ModelId,
    val workClass: WorkClass,
    val promptTokens: Int,
    val maxTokens: Int,
    val adapter: AdapterId? = null,
    val prefixHashes: List<Long> = emptyList(),
    val firstTokenBudgetMicros: Long = 1_500_000,
)
