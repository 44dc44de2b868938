package io.anvilvalve.net

import io.anvilvalve.api.routing.ServerStart
import okhttp3.Headers

/**
 * A request to the server at [address], which has the form `ip:port`.
 *
 * @property target path and query, sent unchanged.
 * @property body null for a request that has none.
 * @property server the server whose connections may be kept; null if the connection of the call is never kept.
 * @property mayReuse whether the call may be sent on a kept connection. It must be false for a call that may not be
 * repeated: a server may close an idle connection while a request is sent on it, and whether that request ran is unknown.
 * @property isEncrypted whether the connection uses TLS.
 */
class CallRequest(
    val address: String,
    val method: String,
    val target: String,
    val head: Headers,
    val body: ByteArray? = null,
    val server: ServerStart? = null,
    val mayReuse: Boolean = false,
    val isEncrypted: Boolean = false,
)
