package io.anvilvalve.rules.release

import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.id.RouteId

/**
 * Request to run a non-repeatable call.
 *
 * @property idempotencyKey key sent by the caller.
 * @property requestDigest SHA-256 over method, path and body in hexadecimal.
 */
data class ClaimRequest(
    val organisation: OrganisationId,
    val route: RouteId,
    val idempotencyKey: String,
    val requestDigest: String,
)
