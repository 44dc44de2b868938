package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.DataCentreId
import io.anvilvalve.api.id.RegionId
import io.anvilvalve.api.routing.Backend

/**
 * Keeps requests with allowed regions in these regions; the prompt memory of an engine counts like the request itself.
 *
 * @param regions region of each data centre; a data centre without one may not get such requests.
 */
internal class HomeRegions(private val regions: Map<DataCentreId, RegionId>) : ServerRule {
    override fun allows(server: Backend, need: PlacementNeed?): Boolean {
        val allowed = need?.allowedRegions.orEmpty()
        return allowed.isEmpty() || regions[server.dataCentre] in allowed
    }
}
