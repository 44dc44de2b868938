package io.anvilvalve.core

import io.anvilvalve.api.id.KeyHash
import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.id.RouteId

/**
 * What the rules need to know of a caller's call to a plain service; the daemon keeps the body.
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
