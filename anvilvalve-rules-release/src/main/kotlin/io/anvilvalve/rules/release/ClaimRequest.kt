package io.anvilvalve.rules.release

import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.id.RouteId

/**
 * A call that may not be repeated.
 *
 * @property idempotencyKey key as the caller sent it.
 * @property requestDigest SHA-256 over method, path and body in hexadecimal.
 */
data class ClaimRequest(
    val organisation: OrganisationId,
    val route: RouteId,
    val idempotencyKey: String,
    val requestDigest: String,
)
