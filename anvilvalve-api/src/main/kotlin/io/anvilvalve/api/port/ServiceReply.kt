package io.anvilvalve.api.port

/** Reply of a plain service. */
class ServiceReply(val status: Int, val contentType: String, val body: ByteArray)
