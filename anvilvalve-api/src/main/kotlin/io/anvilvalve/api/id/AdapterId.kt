package io.anvilvalve.api.id

import kotlinx.serialization.Serializable

/** Name of an adapter of a model. */
@JvmInline
@Serializable
value class AdapterId(val value: String) {
    override fun toString(): String = value
}
