package io.anvilvalve.core

import io.anvilvalve.api.id.KeyHash
import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.id.RouteId

/**
 * The part of a caller's call to a plain service that the rules need; the daemon keeps the body.
 *
 * @property digest SHA-256 over method, path and body in hexadecimal.
 */
data class ServiceRequest(
    val id: RequestId,
    val key: KeyHash?,
    val route: RouteId,
    val idempotencyKey: String?,
    val digest: String,
)
