package io.anvilvalve.api.id

import kotlinx.serialization.Serializable

/** Name of a backend server. */
@JvmInline
@Serializable
value class BackendServerId(val value: String) {
    override fun toString(): String = value
}
