package io.anvilvalve.rules.routing

/** Outcome of the prefill of a request. */
sealed interface PrefillResult {
    /** The prefill result can be fetched with [handle] from the backend server that ran the prefill. */
    data class Done(val handle: String) : PrefillResult

    /**
     * The prefill produced no result.
     *
     * @property unreachable whether the connection could not be opened.
     * @property isServerFault whether the failure tells something about the backend server; false if it follows from
     * the request or if this host could not make the call.
     */
    data class Failed(val reason: String, val unreachable: Boolean = false, val isServerFault: Boolean = true) :
        PrefillResult
}
