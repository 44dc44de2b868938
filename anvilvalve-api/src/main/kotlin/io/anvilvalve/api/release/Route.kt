package io.anvilvalve.api.release

import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.id.RouteId
import kotlinx.serialization.Serializable

/**
 * A route `/svc/{id}/...` to plain services.
 *
 * @property repeatable whether a call may be sent more than once.
 * @property open whether callers need no key.
 * @property costTokens tokens that one call consumes of its organisation's rate.
 */
@Serializable
data class Route(
    val id: RouteId,
    val backendServers: List<BackendServerId>,
    val repeatable: Boolean = true,
    val open: Boolean = false,
    val costTokens: Long = 1,
)
