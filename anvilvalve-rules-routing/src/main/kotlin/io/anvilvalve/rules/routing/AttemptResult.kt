package io.anvilvalve.rules.routing

import io.anvilvalve.api.result.Executed

/** Outcome of one call to a backend server. */
sealed interface AttemptResult {
    /** The complete answer was relayed. */
    data object Complete : AttemptResult

    /** The backend server had no capacity: it answered with [status] that it did not execute the request. */
    data class NotExecuted(val status: Int) : AttemptResult

    /**
     * The backend server answered with an error, or refused the request because of the request itself; the daemon holds
     * that answer until the rules decide to relay it.
     */
    data class ErrorAnswer(val status: Int) : AttemptResult

    /**
     * No complete answer was received.
     *
     * @property executed whether the backend server may have executed the request.
     * @property unreachable whether the connection could not be opened.
     * @property isServerFault whether the failure tells something about the backend server; false if this host had no
     * room.
     * @property resumable whether another attempt can go on where this one ended; false after events without an id.
     */
    data class Failed(
        val reason: String,
        val executed: Executed,
        val unreachable: Boolean = false,
        val isServerFault: Boolean = true,
        val resumable: Boolean = true,
    ) : AttemptResult
}
