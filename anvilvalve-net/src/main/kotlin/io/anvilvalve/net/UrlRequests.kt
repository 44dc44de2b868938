package io.anvilvalve.net

import okhttp3.Headers
import okhttp3.Headers.Companion.headersOf
import okhttp3.HttpUrl

/**
 * Returns the request to this URL with the additional headers [head]: a GET, or a POST of [json] if it is not null.
 *
 * The scheme `https` stands for a connection with TLS.
 */
fun HttpUrl.toCallRequest(head: Headers = headersOf(), json: String? = null): CallRequest = CallRequest(
    address = "${if (':' in host) "[$host]" else host}:$port",
    method = if (json == null) "GET" else "POST",
    target = encodedPath + encodedQuery?.let { "?$it" }.orEmpty(),
    head = if (json == null) head else head.newBuilder().set("Content-Type", "application/json").build(),
    body = json?.toByteArray(),
    isEncrypted = isHttps,
)
