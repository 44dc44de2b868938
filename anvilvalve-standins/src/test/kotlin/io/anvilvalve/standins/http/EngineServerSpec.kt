package io.anvilvalve.standins.http

import io.anvilvalve.api.port.KvHandle
import io.anvilvalve.api.release.Role
import io.anvilvalve.standins.AnswerText
import io.anvilvalve.standins.EngineConfig
import io.anvilvalve.standins.FakeEngine
import io.anvilvalve.standins.MODEL
import io.kotest.assertions.throwables.shouldThrow
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import kotlinx.coroutines.withTimeout
import kotlinx.coroutines.yield
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import kotlin.time.Duration.Companion.seconds

/** Guards against an engine server that deviates from the published protocol or hides a broken stream. */
class EngineServerSpec :
    FunSpec({
        val fast = EngineConfig(stopAfter = 5).faster(50.0)
        val network = HttpKvNetwork()
        val prefill = FakeEngine("p", fast.copy(role = Role.PREFILL), network)
        val decode = FakeEngine("d", fast, network)
        val prefillServer = serveEngine(prefill)
        val decodeServer = serveEngine(decode)
        val client = HttpClient.newHttpClient()

        afterSpec {
            prefillServer.close()
            decodeServer.close()
        }

        fun post(server: StandinServer, path: String, body: String, id: String = "r.1"): HttpRequest =
            HttpRequest.newBuilder(URI("http://${server.address}$path")).header("X-Request-Id", id)
                .POST(HttpRequest.BodyPublishers.ofString(body)).build()

        fun send(request: HttpRequest): HttpResponse<String> =
            client.send(request, HttpResponse.BodyHandlers.ofString())

        fun body(vararg fields: String) =
            """{"model":"$MODEL","prompt":"hello","max_tokens":9,${fields.joinToString(",")}}"""

        fun events(text: String): List<String> =
            text.lines().filter { it.startsWith("data: ") }.map { it.removePrefix("data: ") }

        fun handleOf(response: HttpResponse<String>): KvHandle {
            val answer = wireJson.decodeFromString(JsonObject.serializer(), response.body())
            return wireJson.decodeFromJsonElement(KvHandle.serializer(), answer.getValue("kv_transfer_params"))
        }

        test("a prompt computed by one server is decoded by another") {
            val prefilled = send(
                post(
                    prefillServer,
                    "/v1/completions",
                    body(""""kv_transfer_params":{"do_remote_decode":true}"""),
                    "a.1",
                ),
            )
            val handle = wireJson.encodeToString(KvHandle.serializer(), handleOf(prefilled))
            val stream = body(""""stream":true""", """"kv_transfer_params":$handle""")
            val events = events(send(post(decodeServer, "/v1/completions", stream, "a.1")).body())
            events.last() shouldBe "[DONE]"
            val chunks = events.dropLast(1).map { wireJson.parseToJsonElement(it).jsonObject }
            chunks.map { it.getValue("index").jsonPrimitive.int } shouldBe listOf(0, 1, 2, 3, 4)
            val choices = chunks.map { it.getValue("choices").jsonArray.single().jsonObject }
            choices.joinToString("") { it.getValue("text").jsonPrimitive.content } shouldBe
                AnswerText.answer(MODEL, "hello", 5)
            choices.last().getValue("finish_reason").jsonPrimitive.content shouldBe "stop"
            prefill.held() + decode.held() shouldBe emptyList()
        }

        test("a response without streaming contains the complete answer") {
            val response = send(post(decodeServer, "/v1/completions", body(""""stream":false"""), "b.1"))
            response.body() shouldContain AnswerText.answer(MODEL, "hello", 5)
        }

        test("a cancel over HTTP refuses the request that arrives after it") {
            repeat(2) { send(post(decodeServer, "/v1/requests/c.1/cancel", "")).statusCode() shouldBe 200 }
            send(post(decodeServer, "/v1/completions", body(""""stream":true"""), "c.1")).statusCode() shouldBe 499
        }

        test("a broken stream closes the connection without completing the response") {
            decode.faults.breakAfterTokens = 2
            decode.faults.brokenStreams.next()
            val request = post(decodeServer, "/v1/completions", body(""""stream":true"""), "d.1")
            shouldThrow<IOException> { send(request) }
        }

        test("closing the connection frees the memory of a request that has sent no output") {
            val prefilled = send(
                post(
                    prefillServer,
                    "/v1/completions",
                    body(""""kv_transfer_params":{"do_remote_decode":true}"""),
                    "e.1",
                ),
            )
            val handle = wireJson.encodeToString(KvHandle.serializer(), handleOf(prefilled))
            decode.faults.stalledTransfers.next()
            val stream = body(""""stream":true""", """"kv_transfer_params":$handle""")
            val request = post(decodeServer, "/v1/completions", stream, "e.1")
            val answer = client.sendAsync(request, HttpResponse.BodyHandlers.ofString())
            withTimeout(30.seconds) { while ("e.1" !in decode.held()) yield() }
            answer.cancel(true)
            withTimeout(30.seconds) { while ("e.1" in decode.held()) yield() }
        }

        test("malformed requests are refused with status 400") {
            listOf("", "{", "[]", """{"model":1}""", """{"model":"$MODEL","prompt":{}}""").forEach {
                send(post(decodeServer, "/v1/completions", it)).statusCode() shouldBe 400
            }
        }
    })
