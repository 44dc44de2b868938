package io.anvilvalve.api.id

import kotlinx.serialization.Serializable

/** One process start on one host; a restarted process has a new incarnation. */
@JvmInline
@Serializable
value class Incarnation(val value: String) {
    override fun toString(): String = value
}
