package io.anvilvalve.api.id

import kotlinx.serialization.Serializable

/** Name of a region, a group of data centres. */
@JvmInline
@Serializable
value class RegionId(val value: String) {
    override fun toString(): String = value
}
