package io.anvilvalve.api.port

import io.anvilvalve.api.id.RequestId

/** A call to a plain service; [path] starts with `/` and includes the query. */
class ServiceCall(
    val id: RequestId,
    val method: String,
    val path: String,
    val contentType: String?,
    val body: ByteArray,
    val idempotencyKey: String? = null,
)
