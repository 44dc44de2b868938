package io.anvilvalve.api.peer

import io.anvilvalve.api.routing.ServiceId
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/**
 * Requests of a host to a service since the host started, and its queue for this service.
 *
 * @property retries calls beyond the first call of each request.
 * @property head the request that the host would place next; null when no request is queued.
 * @property queuedTokens engine memory that the currently queued requests need, in tokens; 0 when no request is queued.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class SharedAttempts(
    @CborLabel(1) val service: ServiceId,
    @CborLabel(2) val requests: Long,
    @CborLabel(3) val retries: Long,
    @CborLabel(4) val queuedTokens: Int,
    @CborLabel(5) val head: QueueHead? = null,
)
