package io.anvilvalve.api.peer

import io.anvilvalve.api.id.BackendServerId
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/**
 * What a backend server stated about itself in its latest answer to a host.
 *
 * @property slownessPercent present duration of its work, in percent of the usual duration.
 * @property requests requests that it processed or held in its queue.
 * @property ageMillis time since the answer arrived, in milliseconds.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class SharedServerState(
    @CborLabel(1) val server: BackendServerId,
    @CborLabel(2) val slownessPercent: Int = 100,
    @CborLabel(3) val requests: Int = 0,
    @CborLabel(4) val ageMillis: Int = 0,
)
