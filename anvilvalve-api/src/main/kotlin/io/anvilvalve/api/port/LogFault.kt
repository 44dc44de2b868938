package io.anvilvalve.api.port

import io.anvilvalve.api.id.LogOffset

/** Why a call to the log service failed. */
sealed interface LogFault {
    /** The service refused the append because of a rate limit; nothing was appended. */
    data object RateLimited : LogFault

    /** The service could not be reached or is down; an append may still have taken effect. */
    data class Unavailable(val reason: String) : LogFault

    /** Records before [firstRetained] are no longer retained. */
    data class Truncated(val firstRetained: LogOffset) : LogFault
}
