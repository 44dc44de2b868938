package io.anvilvalve.api.port

import io.anvilvalve.api.id.DataCentreId
import io.anvilvalve.api.id.HostId
import io.anvilvalve.api.id.RegionId
import kotlinx.serialization.Serializable

/** One line of the platform's list of hosts; backend servers are listed by their name too. */
@Serializable
data class LiveHost(
    val id: HostId,
    val address: String,
    val peerPort: Int,
    val dataCentre: DataCentreId,
    val region: RegionId,
    val leaving: Boolean,
)
