package io.anvilvalve.api.peer

import io.anvilvalve.api.id.Incarnation
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/**
 * The grants of a coordinator that a host has received; the loads in the same message include them.
 *
 * @property grant number of the latest grant received.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class GrantsSeen(@CborLabel(1) val coordinator: Incarnation, @CborLabel(2) val grant: Long)
