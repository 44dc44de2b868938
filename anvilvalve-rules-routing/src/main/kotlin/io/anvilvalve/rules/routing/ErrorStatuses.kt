package io.anvilvalve.rules.routing

/** Tells errors of a request, which every server would answer in the same way, from errors of the server. */
object ErrorStatuses {
    private val redirectsAndCallerErrors = 300..499

    /** 408, 421 and 429 tell something about the server or its connection. */
    private val serverStates = setOf(408, 421, 429)

    /** The method is not supported by the server. */
    private const val NOT_IMPLEMENTED = 501

    /**
     * Whether the error [status] follows from the request. The caller chooses such a request, so it must not count
     * against the server, and other servers are not asked.
     */
    fun followsFromRequest(status: Int): Boolean =
        (status in redirectsAndCallerErrors && status !in serverStates) || status == NOT_IMPLEMENTED
}
