package io.anvilvalve.api.id

import kotlinx.serialization.Serializable

/** Name of a model as callers specify it. */
@JvmInline
@Serializable
value class ModelId(val value: String) {
    override fun toString(): String = value
}
