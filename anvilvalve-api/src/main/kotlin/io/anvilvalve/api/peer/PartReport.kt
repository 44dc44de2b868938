package io.anvilvalve.api.peer

import io.anvilvalve.api.id.PromptPartId
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/**
 * What a host knows of prompt parts and crashes of engines; empty while no engine crashes.
 *
 * @property crashes recent crashes that a request may have caused.
 * @property answered parts of these requests with which an engine has answered another request.
 * @property withheld parts with which no request is sent to an engine.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class PartReport(
    @CborLabel(1) val crashes: List<Crash> = emptyList(),
    @CborLabel(2) val answered: List<PromptPartId> = emptyList(),
    @CborLabel(3) val withheld: List<Withheld> = emptyList(),
) {
    /**
     * An attempt that broke before its answer started.
     *
     * @property engine id and start of the engine.
     * @property parts shared parts of the request, in their order.
     * @property ageMillis time since the break, in milliseconds.
     */
    @Serializable
    data class Crash(
        @CborLabel(1) val engine: String,
        @CborLabel(2) val parts: List<PromptPartId>,
        @CborLabel(3) val ageMillis: Int,
    )

    /** A part that is withheld for another [millis] milliseconds. */
    @Serializable
    data class Withheld(@CborLabel(1) val part: PromptPartId, @CborLabel(2) val millis: Int)
}
