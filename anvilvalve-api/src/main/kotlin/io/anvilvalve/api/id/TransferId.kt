package io.anvilvalve.api.id

import kotlinx.serialization.Serializable

/** Identity of one token transfer between hosts: incarnation and counter. */
@JvmInline
@Serializable
value class TransferId(val value: String) {
    override fun toString(): String = value
}
