package io.anvilvalve.api.log

import io.anvilvalve.api.id.ClaimId
import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.id.OrganisationId
import kotlinx.serialization.Serializable

/**
 * A host's claim to run a call that may not be repeated.
 *
 * @property callKey SHA-256 over the route and the caller's idempotency key, in hexadecimal.
 * @property requestDigest SHA-256 over method, path and body, to refuse a key that is reused for another call.
 */
@Serializable
data class Claim(
    val id: ClaimId,
    val owner: Incarnation,
    val organisation: OrganisationId,
    val callKey: String,
    val requestDigest: String,
)
