package io.anvilvalve.rules.routing

/** Outcome of the prefill of a request. */
sealed interface PrefillResult {
    /** The prefill result can be fetched with [handle] from the backend server that ran the prefill. */
    data class Done(val handle: String) : PrefillResult

    /**
     * The prefill produced no result.
     *
     * @property unreachable whether the connection could not be opened.
     */
    data class Failed(val reason: String, val unreachable: Boolean = false) : PrefillResult
}
