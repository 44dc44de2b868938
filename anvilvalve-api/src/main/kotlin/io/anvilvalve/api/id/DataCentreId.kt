package io.anvilvalve.api.id

import kotlinx.serialization.Serializable

/** Name of a data centre. */
@JvmInline
@Serializable
value class DataCentreId(val value: String) {
    override fun toString(): String = value
}
