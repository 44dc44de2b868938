package io.anvilvalve.api.result

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Whether a refused or failed request may have run. */
@Serializable
enum class Executed {
    /** Nothing that could start the run has left the host, or the backend server reported that it did not run. */
    @SerialName("no")
    NO,

    /** The request may have run in part or whole. */
    @SerialName("unknown")
    UNKNOWN,
}
