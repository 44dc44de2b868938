package io.anvilvalve.api.routing

import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.id.DataCentreId
import kotlin.time.Duration

/**
 * A backend server as registered in the platform's store.
 *
 * @property address IP address and port.
 * @property leaving whether the backend server accepts no new requests.
 * @property stage set when the backend server is a model engine.
 * @property startedAtMillis wall-clock time of its start; another value means another incarnation under the same id.
 * @property version version of its software; empty if its entry does not state it.
 * @property coldFor time for which the server remained cold when its entry was written; changes with each heartbeat.
 */
data class Backend(
    val id: BackendServerId,
    val service: ServiceId,
    val address: String,
    val dataCentre: DataCentreId,
    val slots: Int,
    val leaving: Boolean = false,
    val stage: Stage? = null,
    val startedAtMillis: Long = 0,
    val coldFor: Duration = Duration.ZERO,
    val version: String = "",
) {
    /** The present start of this server. */
    val start: ServerStart get() = ServerStart(id, address, startedAtMillis)
}
