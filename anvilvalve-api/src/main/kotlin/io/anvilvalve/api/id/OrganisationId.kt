package io.anvilvalve.api.id

import kotlinx.serialization.Serializable

/** Name of an organisation. */
@JvmInline
@Serializable
value class OrganisationId(val value: String) {
    override fun toString(): String = value
}
