package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.DataCentreId
import io.anvilvalve.api.id.RegionId
import io.anvilvalve.api.log.Member

/** Takes the region of a data centre from [configured], or else from the hosts that are known to be in it. */
internal class HostRegions(
    private val peers: Peers,
    private val configured: Map<DataCentreId, RegionId> = emptyMap(),
) : RegionDirectory {
    private var regions: Map<DataCentreId, RegionId> = emptyMap()
    private var members: List<Member>? = null

    override fun region(dataCentre: DataCentreId): RegionId? = configured[dataCentre] ?: regionOfHosts(dataCentre)

    private fun regionOfHosts(dataCentre: DataCentreId): RegionId? {
        val current = peers.ranked
        if (current !== members) {
            members = current
            regions = current.associate { it.dataCentre to it.region }
        }
        return regions[dataCentre]
    }
}
