package io.anvilvalve.api.port

import arrow.core.Either

/** The platform's list of live and leaving hosts; the list may be out of date. */
interface LiveHostList {
    /** Returns the list, or the reason why it could not be read. */
    suspend fun hosts(): Either<String, List<LiveHost>>
}
