package io.anvilvalve.host.routing

import io.anvilvalve.host.connect
import io.javalin.Javalin
import io.javalin.http.Context
import io.javalin.http.HandlerType
import java.io.ByteArrayOutputStream
import java.net.SocketException

/** What a caller received until its connection ended: [head] in lower case. */
internal class ReceivedAnswer(val head: String, val body: String, val reset: Boolean) {
    private fun header(name: String) = head.lines().firstOrNull { it.startsWith("$name:") }?.substringAfter(':')?.trim()

    /** The decoded body of an answer that shows its end; null if the answer has ended early. */
    fun completeBody(): String? = when {
        header("transfer-encoding") == "chunked" -> body.takeIf { it.endsWith("0\r\n\r\n") }?.let(::decodeChunks)
        header("content-length") != null -> body.takeIf { it.length == header("content-length")?.toInt() }
        else -> body.takeIf { !reset }
    }

    val status: Int = head.substringAfter(' ').take(3).toInt()
    val contentLength: Int? get() = header("content-length")?.toInt()

    private fun decodeChunks(text: String): String {
        val size = text.substringBefore("\r\n")
        val length = size.toInt(radix = 16)
        if (length == 0) return ""
        val from = size.length + 2
        return text.substring(from, from + length) + decodeChunks(text.substring(from + length + 2))
    }

    companion object {
        /** Sends [request] to [port] and receives until the connection ends. */
        fun of(port: Int, request: String): ReceivedAnswer = connect(port).use { socket ->
            socket.getOutputStream().write(request.toByteArray())
            // The host closes a connection that a caller could use again.
            socket.shutdownOutput()
            val bytes = ByteArrayOutputStream()
            val reset = try {
                socket.getInputStream().transferTo(bytes)
                false
            } catch (_: SocketException) {
                true
            }
            val text = bytes.toString(Charsets.ISO_8859_1)
            ReceivedAnswer(text.substringBefore("\r\n\r\n").lowercase(), text.substringAfter("\r\n\r\n"), reset)
        }
    }
}

/** Runs [use] with the port of an HTTP server that passes each request to [handle]. */
internal fun <T> serve(handle: (Context) -> Unit, use: (Int) -> T): T {
    val server = Javalin.create { config ->
        config.startup.showJavalinBanner = false
        config.startup.startupWatcherEnabled = false
        listOf(HandlerType.GET, HandlerType.HEAD).forEach { config.routes.addHttpHandler(it, "/", handle) }
    }.start("127.0.0.1", 0)
    return try {
        use(server.port())
    } finally {
        server.stop()
    }
}
