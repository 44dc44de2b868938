package io.anvilvalve.api.log

import io.anvilvalve.api.id.DataCentreId
import io.anvilvalve.api.id.HostId
import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.id.RegionId
import kotlinx.serialization.Serializable

/** An incarnation of a host with the [address] (IP address and port) at which peers reach it. */
@Serializable
data class Member(
    val host: HostId,
    val incarnation: Incarnation,
    val address: String,
    val dataCentre: DataCentreId,
    val region: RegionId,
)
