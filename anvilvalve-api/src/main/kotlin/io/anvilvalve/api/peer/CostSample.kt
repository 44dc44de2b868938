package io.anvilvalve.api.peer

import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.routing.ServiceId
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/**
 * Cost of one answered request.
 *
 * @property millis duration of the call, in milliseconds.
 * @property outputTokens tokens of a streamed answer; 0 for calls to plain services.
 * @property claimedTokens output tokens that the caller expected; 0 if the request did not state them.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class CostSample(
    @CborLabel(1) val service: ServiceId,
    @CborLabel(2) val route: String,
    @CborLabel(3) val organisation: OrganisationId? = null,
    @CborLabel(4) val millis: Int = 0,
    @CborLabel(5) val outputTokens: Int = 0,
    @CborLabel(6) val claimedTokens: Int = 0,
)
