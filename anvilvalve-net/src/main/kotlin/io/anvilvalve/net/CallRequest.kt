package io.anvilvalve.net

import okhttp3.Headers

/**
 * A request to the server at [address], which has the form `ip:port`.
 *
 * @property target path and query, sent unchanged.
 * @property body null for a request that has none.
 */
class CallRequest(
    val address: String,
    val method: String,
    val target: String,
    val head: Headers,
    val body: ByteArray? = null,
)
