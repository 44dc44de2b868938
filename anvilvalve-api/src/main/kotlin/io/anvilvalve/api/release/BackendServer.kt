package io.anvilvalve.api.release

import io.anvilvalve.api.id.AdapterId
import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.id.DataCentreId
import io.anvilvalve.api.id.ModelId
import kotlinx.serialization.Serializable

/**
 * A backend server as a release describes it.
 *
 * @property address IP address and port, such as `127.0.0.1:9000`.
 * @property slots requests that the server runs at once.
 * @property kvPieces KV cache memory in pieces of about 1,000 tokens.
 * @property linkBytesPerSecond rate of the server's link for KV transfers.
 * @property checksFencing whether the server refuses orders with an outdated fencing token.
 * @property leaving whether the server accepts no new work.
 */
@Serializable
data class BackendServer(
    val id: BackendServerId,
    val address: String,
    val dataCentre: DataCentreId,
    val role: Role,
    val models: List<ModelId> = emptyList(),
    val adapters: List<AdapterId> = emptyList(),
    val slots: Int = 20,
    val kvPieces: Int = 400,
    val linkBytesPerSecond: Long = 10_000_000_000,
    val checksFencing: Boolean = false,
    val leaving: Boolean = false,
)
