package io.anvilvalve.api.peer

import io.anvilvalve.api.routing.ServiceId
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/**
 * Tells that a stream began, which its caller may take up at any host.
 *
 * @property stream hash code of the organisation and the caller's attempt.
 * @property service service at which it began.
 * @property version software version of the backend server.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class StreamStart(
    @CborLabel(1) val stream: Long,
    @CborLabel(2) val service: ServiceId,
    @CborLabel(3) val version: String,
)
