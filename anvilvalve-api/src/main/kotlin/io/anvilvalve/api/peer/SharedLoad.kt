package io.anvilvalve.api.peer

import io.anvilvalve.api.id.BackendServerId
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/**
 * Current load of a host on a backend server.
 *
 * @property requests requests that the host has sent or has reserved a slot for.
 * @property tokens upper bound on the memory that these requests need, in tokens.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class SharedLoad(
    @CborLabel(1) val server: BackendServerId,
    @CborLabel(2) val requests: Int,
    @CborLabel(3) val tokens: Int,
)
