package io.anvilvalve.api.peer

import io.anvilvalve.api.id.BackendServerId
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/**
 * Outcome of one call of a host to a backend server, for the health and speed that other hosts assume.
 *
 * @property millis duration of a successful call, in milliseconds.
 * @property tokens of a prefill, the prompt tokens that the engine processed, including those queued ahead; of an
 * answer, the engine memory that it used at its end.
 * @property promptTokens of a prefill, the tokens of its own prompt.
 * @property costPercent expected cost of the request, in percent of the mean cost of a request to the service.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class ServerOutcome(
    @CborLabel(1) val server: BackendServerId,
    @CborLabel(2) val kind: Kind,
    @CborLabel(3) val millis: Int = 0,
    @CborLabel(4) val tokens: Int = 0,
    @CborLabel(5) val promptTokens: Int = 0,
    @CborLabel(6) val costPercent: Int = 100,
) {
    /** What happened to the call. */
    enum class Kind { ANSWERED, PREFILLED, FAILED, REJECTED }
}
