package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.id.RegionId

/**
 * Servers that a request may use.
 *
 * @property regions regions to which it may be sent; empty if there is no such limit.
 * @property avoided servers to which it must not be sent.
 */
internal data class Restriction(val regions: Set<RegionId>, val avoided: Set<BackendServerId>) {
    /** Whether some servers must not get the request. */
    val isLimiting: Boolean get() = regions.isNotEmpty() || avoided.isNotEmpty()
}
