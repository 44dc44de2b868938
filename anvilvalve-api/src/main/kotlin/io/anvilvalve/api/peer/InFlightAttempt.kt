package io.anvilvalve.api.peer

import io.anvilvalve.api.id.BackendServerId
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** An attempt in flight at [servers], on which other hosts cancel it when the host that started it is removed. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class InFlightAttempt(@CborLabel(1) val engineId: String, @CborLabel(2) val servers: List<BackendServerId>)
