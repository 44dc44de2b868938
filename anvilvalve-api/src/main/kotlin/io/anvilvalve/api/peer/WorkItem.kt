package io.anvilvalve.api.peer

import io.anvilvalve.api.id.AdapterId
import io.anvilvalve.api.id.DataCentreId
import io.anvilvalve.api.id.HostId
import io.anvilvalve.api.id.ModelId
import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.id.RequestId
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/**
 * Properties of a request that the scheduler of a pool uses.
 *
 * @property origin host that accepted the request and streams the answer.
 * @property promptTokens length of the prompt in tokens.
 * @property maxTokens upper bound on generated tokens.
 * @property prefixHashes hashes of the prompt's prefixes, one for each full KV piece, shortest first.
 * @property firstTokenBudgetMicros time left for the first token when the item was sent, in microseconds.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class WorkItem(
    @CborLabel(1) val id: RequestId,
    @CborLabel(2) val origin: HostId,
    @CborLabel(3) val originDataCentre: DataCentreId,
    @CborLabel(4) val organisation: OrganisationId,
    @CborLabel(5) val model: ModelId,
    @CborLabel(6) val workClass: WorkClass,
    @CborLabel(7) val promptTokens: Int,
    @CborLabel(8) val maxTokens: Int,
    @CborLabel(9) val adapter: AdapterId? = null,
    @CborLabel(10) val prefixHashes: List<Long> = emptyList(),
    @CborLabel(11) val firstTokenBudgetMicros: Long = 1_500_000,
)
