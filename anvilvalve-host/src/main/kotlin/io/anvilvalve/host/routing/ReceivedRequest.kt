package io.anvilvalve.host.routing

import okhttp3.Headers

/**
 * A caller's request as it was received.
 *
 * @property target path and query, unchanged.
 * @property attemptId identity that backend servers echo.
 */
internal class ReceivedRequest(
    val method: String,
    val target: String,
    val head: Headers,
    val body: ByteArray,
    val attemptId: String?,
)
