package io.anvilvalve.api.peer

import kotlinx.serialization.Serializable

/** Latency class of a request. */
@Serializable
enum class WorkClass {
    /** Short requests that a person waits for. */
    INTERACTIVE,

    /** Long requests that may wait. */
    BATCH,
}
