package io.anvilvalve.api.peer

import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.result.ResultCode
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Decision of a pool owner on a submitted request. */
@Serializable
sealed interface PlacementOutcome {
    /** Prefill at [prefill], then decode at [decode]; both places are held for this request. */
    @Serializable
    @SerialName("placed")
    data class Placed(val prefill: BackendServerId, val decode: BackendServerId, val priority: Int = 0) :
        PlacementOutcome

    /** Nothing was started for the request. */
    @Serializable
    @SerialName("refused")
    data class Refused(val code: ResultCode, val retryAfterMillis: Long = 1_000) : PlacementOutcome
}
