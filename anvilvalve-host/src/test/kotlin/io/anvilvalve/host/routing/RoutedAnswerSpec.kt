package io.anvilvalve.host.routing

import io.anvilvalve.host.CallerWatch
import io.anvilvalve.host.connect
import io.javalin.Javalin
import io.javalin.http.Context
import io.javalin.http.HandlerType
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import okhttp3.Headers.Companion.headersOf
import java.io.ByteArrayOutputStream
import java.net.SocketException
import kotlin.time.Duration.Companion.days
import kotlin.time.TimeSource

/** What a caller received until its connection ended: [head] in lower case. */
private class Received(val head: String, val body: String, val reset: Boolean) {
    private fun header(name: String) = head.lines().firstOrNull { it.startsWith("$name:") }?.substringAfter(':')?.trim()

    /** The decoded body of an answer that shows its end; null if the answer has ended early. */
    fun completeBody(): String? = when {
        header("transfer-encoding") == "chunked" -> body.takeIf { it.endsWith("0\r\n\r\n") }?.let(::decodeChunks)
        header("content-length") != null -> body.takeIf { it.length == header("content-length")?.toInt() }
        else -> body.takeIf { !reset }
    }

    fun contentLength() = header("content-length")

    private fun decodeChunks(text: String): String {
        val size = text.substringBefore("\r\n")
        val length = size.toInt(radix = 16)
        if (length == 0) return ""
        val from = size.length + 2
        return text.substring(from, from + length) + decodeChunks(text.substring(from + length + 2))
    }
}

/** Guards against an answer that looks complete to its caller after it was broken off. */
class RoutedAnswerSpec :
    FunSpec({
        fun receive(port: Int, request: String): Received = connect(port).use { socket ->
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
            Received(text.substringBefore("\r\n\r\n").lowercase(), text.substringAfter("\r\n\r\n"), reset)
        }

        fun <T> serve(handle: (Context) -> Unit, use: (Int) -> T): T {
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

        class Caller(val name: String, val request: String, val draining: Boolean = false)

        val callers = listOf(
            Caller("a caller that keeps its connection", "GET / HTTP/1.1\r\nHost: h\r\n\r\n"),
            Caller("a caller of a draining host", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", draining = true),
            Caller("a caller that closes its connection", "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"),
            Caller("a caller with HTTP/1.0", "GET / HTTP/1.0\r\nHost: h\r\n\r\n"),
        )
        val parts = listOf("id: 1\n\n", "id: 2\n\n")

        callers.forEach { caller ->
            listOf(false, true).forEach { brokenOff ->
                test("a stream to ${caller.name} ${if (brokenOff) "looks broken off if it is" else "is complete"}") {
                    CallerWatch().use { watches ->
                        val handle = { ctx: Context ->
                            val watch = watches.watch(ctx.req(), TimeSource.Monotonic.markNow() + 1.days) { }
                            val answer = RoutedAnswer(ctx.res()) { caller.draining }
                            answer.sendHead(200, headersOf("Content-Type", "text/event-stream"))
                            parts.forEach { answer.write(it.toByteArray()) }
                            if (brokenOff) watch.abort() else watch.close()
                        }
                        val received = serve(handle) { receive(it, caller.request) }
                        received.completeBody() shouldBe if (brokenOff) null else parts.joinToString("")
                    }
                }
            }
        }
    })
