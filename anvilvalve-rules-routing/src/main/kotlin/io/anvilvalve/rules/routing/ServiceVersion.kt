package io.anvilvalve.rules.routing

import io.anvilvalve.api.routing.ServiceId
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** A software version of which [service] has had backend servers recently. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal data class ServiceVersion(@CborLabel(1) val service: ServiceId, @CborLabel(2) val version: String)
