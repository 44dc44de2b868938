package io.anvilvalve.api.port

import arrow.core.Either

/** The platform's list of live and leaving hosts; it lags behind the truth. */
interface LiveHostList {
    /** Returns the list, or the reason why it could not be read. */
    suspend fun hosts(): Either<String, List<LiveHost>>
}
