package io.anvilvalve.api.release

import io.anvilvalve.api.id.KeyHash
import io.anvilvalve.api.id.OrganisationId
import kotlinx.serialization.Serializable

/** A caller's key, stored as a hash, and the organisation that it authenticates. */
@Serializable
data class Key(val hash: KeyHash, val organisation: OrganisationId)
