package io.anvilvalve.api.id

import kotlinx.serialization.Serializable

/** Name of a pool: the backend servers of one model in one group of data centres. */
@JvmInline
@Serializable
value class PoolId(val value: String) {
    override fun toString(): String = value
}
