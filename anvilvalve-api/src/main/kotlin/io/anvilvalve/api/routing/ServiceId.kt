package io.anvilvalve.api.routing

import kotlinx.serialization.Serializable

/** Name of a service that backend servers belong to. */
@JvmInline
@Serializable
value class ServiceId(val value: String) {
    override fun toString(): String = value
}
