package io.anvilvalve.api.peer

import io.anvilvalve.api.id.BackendServerId
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/**
 * A backend server that has announced in a response that it leaves.
 *
 * @property startedAtMillis start of the server that leaves; after another start it is a different server.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class LeavingServer(@CborLabel(1) val server: BackendServerId, @CborLabel(2) val startedAtMillis: Long)
