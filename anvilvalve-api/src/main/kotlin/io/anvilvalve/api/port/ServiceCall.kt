package io.anvilvalve.api.port

import io.anvilvalve.api.id.RequestId

/**
 * A call to a plain service; [path] starts with `/` and includes the query.
 *
 * @property reserve makes room for the given number of bytes of the reply before they are held; the call fails if it
 * returns false.
 */
class ServiceCall(
    val id: RequestId,
    val method: String,
    val path: String,
    val contentType: String?,
    val body: ByteArray,
    val idempotencyKey: String? = null,
    val reserve: (bytes: Int) -> Boolean = { true },
)
