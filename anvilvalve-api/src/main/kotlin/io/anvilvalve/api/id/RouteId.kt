package io.anvilvalve.api.id

import kotlinx.serialization.Serializable

/** Name of a route to a plain service. */
@JvmInline
@Serializable
value class RouteId(val value: String) {
    override fun toString(): String = value
}
