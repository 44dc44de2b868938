package io.anvilvalve.api.id

import kotlinx.serialization.Serializable

/** Identity of one claim append: incarnation and counter. */
@JvmInline
@Serializable
value class ClaimId(val value: String) {
    override fun toString(): String = value
}
