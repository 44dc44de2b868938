package io.anvilvalve.api.id

import kotlinx.serialization.Serializable

/** Identity of one caller's request, unique across hosts and restarts. */
@JvmInline
@Serializable
value class RequestId(val value: String) {
    override fun toString(): String = value
}
