package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.id.DataCentreId
import io.anvilvalve.api.id.RegionId
import io.anvilvalve.api.routing.Backend
import io.anvilvalve.api.routing.ServiceSpec

/**
 * What a request needs from a backend server of [service].
 *
 * @property promptTokens prompt tokens to prefill; 0 if no prefill is needed.
 * @property avoided servers that must not be selected.
 * @property dataCentre data centre of the host that sends the request.
 * @property allowedRegions regions to which the request may be sent; empty if there is no such limit.
 * @property isOwn whether this host sends the request; false if it places the request for another host.
 * @property version software version that the server of the answer must have; null if there is no such limit.
 * @property cost expected cost as a multiple of the mean cost of a request to the service.
 */
internal class PlacementNeed(
    val service: ServiceSpec,
    val memoryTokens: Int,
    val promptTokens: Int,
    val avoided: Set<BackendServerId>,
    val dataCentre: DataCentreId,
    val allowedRegions: Set<RegionId> = emptySet(),
    val cost: Double = 1.0,
    val isOwn: Boolean = true,
    val version: String? = null,
) {
    /** The same need for a server of any version. */
    fun withoutVersion() = PlacementNeed(
        service,
        memoryTokens,
        promptTokens,
        avoided,
        dataCentre,
        allowedRegions,
        cost,
        isOwn,
    )
}

/**
 * Servers selected for a request; without [prefill], [server] processes the prompt itself.
 *
 * @property tokensAhead prompt tokens queued at [prefill] ahead of this prompt.
 */
internal class SelectedServers(val server: Backend, val prefill: Backend? = null, val tokensAhead: Int = 0)
