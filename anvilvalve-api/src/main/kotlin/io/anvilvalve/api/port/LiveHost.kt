package io.anvilvalve.api.port

import io.anvilvalve.api.id.DataCentreId
import io.anvilvalve.api.id.HostId
import io.anvilvalve.api.id.RegionId
import kotlinx.serialization.Serializable

/** One entry of the platform's list of hosts; the list also contains backend servers, under their names. */
@Serializable
data class LiveHost(
    val id: HostId,
    val address: String,
    val peerPort: Int,
    val dataCentre: DataCentreId,
    val region: RegionId,
    val leaving: Boolean,
)
