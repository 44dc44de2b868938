package io.anvilvalve.api.log

import io.anvilvalve.api.id.DataCentreId
import io.anvilvalve.api.id.HostId
import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.id.RegionId
import kotlinx.serialization.Serializable

/**
 * An incarnation of a host with the [address] (IP address and port) at which peers reach it.
 *
 * @property capacity processor capacity of the host, in thousandths of a core.
 */
@Serializable
data class Member(
    val host: HostId,
    val incarnation: Incarnation,
    val address: String,
    val dataCentre: DataCentreId,
    val region: RegionId,
    val capacity: Int = STANDARD_CAPACITY,
) {
    companion object {
        /** Capacity of a host that does not state it: one core. */
        const val STANDARD_CAPACITY = 1_000
    }
}
