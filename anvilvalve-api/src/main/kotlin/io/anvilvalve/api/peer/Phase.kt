package io.anvilvalve.api.peer

import kotlinx.serialization.Serializable

/** Progress of a placed request, as its origin reports it to the pool owner. */
@Serializable
enum class Phase {
    PREFILL_STARTED,
    PREFILL_FINISHED,
    PREFILL_FAILED,
    FIRST_TOKEN,
    DECODE_FINISHED,
    DECODE_FAILED,
    CANCELLED,
}
