package io.anvilvalve.host.routing

import okhttp3.Headers

/**
 * A caller's request as it was received.
 *
 * @property target path and query, unchanged.
 * @property attemptId id of the caller's attempt, which backend servers echo; null when the caller sent none.
 * @property isBodyUnread whether the body was not read because the header shows that the request will be refused; such
 * a request must not be sent to a backend server.
 */
internal class ReceivedRequest(
    val method: String,
    val target: String,
    val head: Headers,
    val body: ByteArray,
    val attemptId: String?,
    val isBodyUnread: Boolean = false,
)
