package io.anvilvalve.api.id

import kotlinx.serialization.Serializable

/** Name of a host, as given in its settings. */
@JvmInline
@Serializable
value class HostId(val value: String) {
    override fun toString(): String = value
}
