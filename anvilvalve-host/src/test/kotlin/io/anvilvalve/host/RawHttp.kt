package io.anvilvalve.host

import java.io.ByteArrayOutputStream
import java.net.Socket
import java.net.SocketException
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

private const val READ_TIMEOUT_MILLIS = 30_000
private val AWAIT_TIMEOUT = 30.seconds

/** Opens a connection with a read timeout, so that a missing answer fails the test instead of blocking it. */
internal fun connect(port: Int): Socket = Socket("127.0.0.1", port).apply { soTimeout = READ_TIMEOUT_MILLIS }

/** Sends [request] unchanged and returns all data received until the host closes the connection. */
internal fun sendRaw(port: Int, request: ByteArray): String = connect(port).use { socket ->
    socket.getOutputStream().write(request)
    readResponse(socket)
}

/** Reads to the end or to a reset: a host that closes with unread bytes of a refused body resets the connection. */
internal fun readResponse(socket: Socket): String {
    val answer = ByteArrayOutputStream()
    val buffer = ByteArray(4_096)
    runCatching {
        generateSequence {
            socket.getInputStream().read(buffer).takeIf { it >= 0 }
        }.forEach { answer.write(buffer, 0, it) }
    }.onFailure { check(it is SocketException) { "reading the answer failed: $it" } }
    return answer.toByteArray().decodeToString()
}

/** Returns the bytes of a completion request with [headers] added to the default ones. */
internal fun rawRequest(
    headers: String,
    body: String,
    framingHeader: String = "Content-Length: ${body.length}\r\n",
): ByteArray = (
    "POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer ${TestHost.KEY}\r\n" +
        "Connection: close\r\n$framingHeader$headers\r\n$body"
    ).toByteArray()

/** Opens a connection and sends a complete streaming request without reading the answer. */
internal fun openRequest(port: Int, receiveBufferBytes: Int? = null): Socket {
    val socket = Socket()
    receiveBufferBytes?.let { socket.receiveBufferSize = it }
    socket.connect(java.net.InetSocketAddress("127.0.0.1", port))
    val body = """{"model":"m","prompt":"hi","max_tokens":32768,"stream":true}"""
    socket.getOutputStream().write(rawRequest("", body))
    return socket
}

/** Waits until another thread makes [condition] true; a hang fails the test instead of blocking the build. */
internal fun await(what: String, condition: () -> Boolean) {
    val start = TimeSource.Monotonic.markNow()
    while (!condition()) {
        check(start.elapsedNow() < AWAIT_TIMEOUT) { "timed out waiting for $what: limit $AWAIT_TIMEOUT" }
        Thread.onSpinWait()
    }
}
