package io.anvilvalve.api.peer

import io.anvilvalve.api.id.BackendServerId
import kotlinx.serialization.Serializable

/** An attempt that runs at [servers] on behalf of the host that replicates the entry. */
@Serializable
data class InFlight(val engineId: String, val servers: List<BackendServerId>)
