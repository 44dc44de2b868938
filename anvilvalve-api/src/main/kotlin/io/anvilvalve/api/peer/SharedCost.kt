package io.anvilvalve.api.peer

import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.routing.ServiceId
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/**
 * What requests of [route], or those of [organisation] on it, cost.
 *
 * @property samples number of requests on which the figures are based; later ones count more.
 * @property mean mean output tokens of streams, or mean milliseconds of calls to plain services.
 * @property high value that nine of ten requests do not exceed.
 * @property claimPercent median of the actual output tokens in percent of the claimed ones; 0 if it is not known.
 * @property claimSpreadPercent standard deviation of the natural logarithm of that ratio, times 100.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class SharedCost(
    @CborLabel(1) val service: ServiceId,
    @CborLabel(2) val route: String,
    @CborLabel(3) val organisation: OrganisationId? = null,
    @CborLabel(4) val samples: Int = 0,
    @CborLabel(5) val mean: Int = 0,
    @CborLabel(6) val high: Int = 0,
    @CborLabel(7) val claimPercent: Int = 0,
    @CborLabel(8) val claimSpreadPercent: Int = 0,
)
