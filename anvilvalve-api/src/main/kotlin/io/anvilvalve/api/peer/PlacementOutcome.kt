package io.anvilvalve.api.peer

import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.result.ResultCode
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** Decision of a pool owner on a submitted request. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
sealed interface PlacementOutcome {
    /** Prefill at [prefill], then decode at [decode]; capacity on both is reserved for this request. */
    @Serializable
    @SerialName("placed")
    data class Placed(
        @CborLabel(1) val prefill: BackendServerId,
        @CborLabel(2) val decode: BackendServerId,
        @CborLabel(3) val priority: Int = 0,
    ) : PlacementOutcome

    /** The request was refused; nothing was started for it. */
    @Serializable
    @SerialName("refused")
    data class Refused(@CborLabel(1) val code: ResultCode, @CborLabel(2) val retryAfterMillis: Long = 1_000) :
        PlacementOutcome
}
