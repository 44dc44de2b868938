package io.anvilvalve.net

import arrow.core.left
import arrow.core.right
import com.sun.net.httpserver.HttpExchange
import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.port.BackendFault
import io.anvilvalve.api.port.KvHandle
import io.anvilvalve.api.port.ServiceCall
import io.anvilvalve.api.port.TokenChunk
import io.anvilvalve.api.result.Executed
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import java.net.ServerSocket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread
import kotlin.time.Duration.Companion.milliseconds

/** Guards against calls sent twice, executed calls reported as not executed, and misread token streams. */
class HttpBackendServerClientSpec :
    FunSpec({
        val client = HttpBackendServerClient()
        val kv =
            KvHandle(engineId = "e", requestId = "r", host = "127.0.0.1", port = 9, pieces = 1, expiresMillis = 700)
        val kvJson = """{"do_remote_prefill":true,"remote_engine_id":"e","remote_request_id":"r",""" +
            """"remote_host":"127.0.0.1","remote_port":9,"kv_pieces":1,"expires_ms":700}"""

        fun event(index: Int, text: String, finish: String? = null) =
            """data: {"index":$index,"choices":[{"text":"$text","finish_reason":${finish?.let { "\"$it\"" }}}]}""" +
                "\n\n"

        fun HttpExchange.stream(text: String) {
            sendResponseHeaders(200, 0)
            responseBody.write(text.toByteArray())
        }

        test("a prefill requests remote decode and returns the KV handle") {
            ScriptedServer.always(200, """{"choices":[],"kv_transfer_params":$kvJson}""").use { server ->
                client.prefill(server.backend, engineRequest) shouldBe kv.right()
                val received = server.requests.single()
                received.headers["X-request-id"] shouldBe listOf("h-1.2")
                received.body shouldContain """"max_tokens":1,"stream":false,"priority":3,"resume_from":0"""
                received.body shouldContain """"kv_transfer_params":{"do_remote_decode":true}"""
            }
        }

        test("a decode sends the KV handle and yields chunks up to the finish reason") {
            val stream = event(0, "a") + event(1, "b", "stop") + "data: [DONE]\n\n"
            ScriptedServer { it.stream(stream) }.use { server ->
                client.decode(server.backend, engineRequest, kv).toList() shouldContainExactly
                    listOf(TokenChunk(0, "a").right(), TokenChunk(1, "b", "stop").right())
                server.requests.single().body shouldContain """"kv_transfer_params":$kvJson"""
            }
        }

        test("a stream that ends early has neither a finish reason nor a fault") {
            ScriptedServer { it.stream(event(0, "a") + "data: {\"index\":1") }.use { server ->
                client.decode(server.backend, engineRequest, kv).toList() shouldBe listOf(TokenChunk(0, "a").right())
            }
        }

        listOf(
            "malformed JSON" to "data: {\n\n",
            "no choice" to "data: {\"index\":0,\"choices\":[]}\n\n",
        ).forEach { (name, bad) ->
            test("an event with $name ends the stream with a fault") {
                ScriptedServer { it.stream(bad + event(0, "a")) }.use { server ->
                    val items = client.decode(server.backend, engineRequest, kv).toList()
                    items shouldHaveSize 1
                    items.single().leftOrNull()?.executed shouldBe Executed.UNKNOWN
                }
            }
        }

        class Answer(val status: Int, val body: String, val executed: Executed)

        listOf(
            Answer(503, "", Executed.NO),
            Answer(429, "", Executed.NO),
            Answer(409, "", Executed.NO),
            Answer(500, "", Executed.UNKNOWN),
            Answer(502, "", Executed.UNKNOWN),
            Answer(408, "", Executed.UNKNOWN),
            Answer(503, """{"error":{"executed":"unknown"}}""", Executed.UNKNOWN),
            Answer(500, """{"error":{"executed":"no"}}""", Executed.NO),
        ).forEach { case ->
            test("status ${case.status} ${case.body} means executed ${case.executed}") {
                ScriptedServer.always(case.status, case.body).use { server ->
                    val expected = BackendFault(case.executed, case.body, case.status).left()
                    client.prefill(server.backend, engineRequest) shouldBe expected
                    client.decode(server.backend, engineRequest, kv).toList() shouldBe listOf(expected)
                }
            }
        }

        test("a refused connection means not executed, a close after sending means unknown, and neither is retried") {
            val call = ServiceCall(RequestId("r"), "POST", "/pay?x=1", "text/plain", "body".toByteArray(), "key-1")
            client.call(backendAt(closedAddress()), call).leftOrNull()?.executed shouldBe Executed.NO
            ServerSocket(0).use { listener ->
                var connections = 0
                val closer = Thread {
                    while (!listener.isClosed) {
                        runCatching { listener.accept() }.onSuccess {
                            connections++
                            it.getInputStream().read()
                            it.close()
                        }
                    }
                }
                closer.start()
                val server = backendAt("127.0.0.1:${listener.localPort}")
                client.call(server, call).leftOrNull()?.executed shouldBe Executed.UNKNOWN
                client.decode(server, engineRequest, kv).toList().single().leftOrNull()?.executed shouldBe
                    Executed.UNKNOWN
                listener.close()
                closer.join()
                connections shouldBe 2
            }
        }

        class Ending(
            val name: String,
            val head: String,
            val reset: Boolean,
            val body: String?,
            val sent: String = "bytes",
        )

        listOf(
            Ending("is closed", "", reset = false, body = "bytes"),
            Ending("is reset", "", reset = true, body = null),
            Ending("has a malformed length", "Content-Length: 5x\r\n", reset = false, body = null),
            Ending(
                "has a broken chunk",
                "Transfer-Encoding: chunked\r\n",
                reset = false,
                body = null,
                "4\r\nbytexx\r\n1\r\ns\r\n0\r\n\r\n",
            ),
        ).forEach { case ->
            test("a service answer that ends with its connection and ${case.name} yields ${case.body ?: "a fault"}") {
                ServerSocket(0).use { listener ->
                    val server = thread {
                        listener.accept().use {
                            it.getInputStream().read()
                            it.getOutputStream().write("HTTP/1.1 200 OK\r\n${case.head}\r\n${case.sent}".toByteArray())
                            if (case.reset) it.setSoLinger(true, 0) else it.shutdownOutput()
                            if (!case.reset) it.getInputStream().readAllBytes()
                        }
                    }
                    val call = ServiceCall(RequestId("r"), "GET", "/", null, ByteArray(0), null)
                    val result = client.call(backendAt("127.0.0.1:${listener.localPort}"), call)
                    result.getOrNull()?.body?.decodeToString() shouldBe case.body
                    result.leftOrNull()?.executed shouldBe if (case.body == null) Executed.UNKNOWN else null
                    server.join()
                }
            }
        }

        test("a service call carries path, body and idempotency key, and follows no redirect") {
            ScriptedServer { exchange ->
                exchange.responseHeaders.add("Location", "/elsewhere")
                exchange.reply(307, "moved")
            }.use { server ->
                val call = ServiceCall(RequestId("r"), "POST", "/pay?x=1", "text/plain", "body".toByteArray(), "key-1")
                client.call(server.backend, call).getOrNull()?.status shouldBe 307
                val received = server.requests.single()
                received.uri shouldBe "/pay?x=1"
                received.body shouldBe "body"
                received.headers["Idempotency-key"] shouldBe listOf("key-1")
            }
        }

        test("a cancelled collector closes the connection while it waits for a token") {
            val closed = CountDownLatch(1)
            val streaming = CountDownLatch(1)
            ScriptedServer { exchange ->
                exchange.stream(event(0, "a"))
                exchange.responseBody.flush()
                streaming.countDown()
                runCatching {
                    while (closed.count >
                        0
                    ) {
                        exchange.responseBody.run {
                            write(":\n".toByteArray())
                            flush()
                        }
                    }
                }
                closed.countDown()
            }.use { server ->
                runBlocking {
                    val job = launch(kotlinx.coroutines.Dispatchers.IO) {
                        client.decode(server.backend, engineRequest, kv).collect { }
                    }
                    streaming.await(30, TimeUnit.SECONDS) shouldBe true
                    job.cancelAndJoin()
                }
                closed.await(30, TimeUnit.SECONDS) shouldBe true
            }
        }

        test("a stream without further tokens ends with a fault after the token gap time-out") {
            val shortGapClient =
                HttpBackendServerClient(EngineTimeouts(tokenGap = 50.milliseconds))
            val release = CountDownLatch(1)
            ScriptedServer { exchange ->
                exchange.stream(event(0, "a"))
                exchange.responseBody.flush()
                release.await(30, TimeUnit.SECONDS)
            }.use { server ->
                val items = shortGapClient.decode(server.backend, engineRequest, kv).toList()
                release.countDown()
                items.map { it.isRight() } shouldContainExactly listOf(true, false)
            }
        }
    })
