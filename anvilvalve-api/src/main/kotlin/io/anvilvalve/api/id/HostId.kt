package io.anvilvalve.api.id

import kotlinx.serialization.Serializable

/** Name of an entry host from its settings. */
@JvmInline
@Serializable
value class HostId(val value: String) {
    override fun toString(): String = value
}
