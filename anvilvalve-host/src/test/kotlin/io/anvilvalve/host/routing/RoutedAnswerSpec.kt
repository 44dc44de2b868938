package io.anvilvalve.host.routing

import io.anvilvalve.host.CallerWatch
import io.javalin.http.Context
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import okhttp3.Headers.Companion.headersOf
import kotlin.time.Duration.Companion.days
import kotlin.time.TimeSource

/** Guards against an answer that looks complete to its caller after it was broken off. */
class RoutedAnswerSpec :
    FunSpec({
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
                        val received = serve(handle) { ReceivedAnswer.of(it, caller.request) }
                        received.completeBody() shouldBe if (brokenOff) null else parts.joinToString("")
                    }
                }
            }
        }
    })
