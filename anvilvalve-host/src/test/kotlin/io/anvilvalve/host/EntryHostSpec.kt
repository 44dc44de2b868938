package io.anvilvalve.host

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.anvilvalve.api.peer.WorkClass
import io.anvilvalve.api.port.BackendFault
import io.anvilvalve.api.port.TokenChunk
import io.anvilvalve.api.result.Executed
import io.anvilvalve.api.result.ResultCode
import io.anvilvalve.core.HostEffect
import io.anvilvalve.core.HostEvent
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.flow.flowOf
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.time.Duration.Companion.seconds

internal val http: HttpClient = HttpClient.newHttpClient()

internal fun post(url: String, body: String, vararg headers: String): HttpResponse<String> {
    val request = HttpRequest.newBuilder(URI(url)).POST(HttpRequest.BodyPublishers.ofString(body))
        .header("Authorization", "Bearer ${TestHost.KEY}")
    headers.toList().chunked(2).forEach { (name, value) -> request.header(name, value) }
    return http.send(request.build(), HttpResponse.BodyHandlers.ofString())
}

internal fun get(url: String): HttpResponse<String> =
    http.send(HttpRequest.newBuilder(URI(url)).build(), HttpResponse.BodyHandlers.ofString())

private const val CHAT = """{"model":"m","messages":[{"role":"user","content":"hi"}],"max_tokens":8,"stream":true}"""
private const val PLAIN = """{"model":"m","prompt":"hi","stream":true}"""

/** Guards against answers that differ from the OpenAI API, and against lost, duplicated or wrong tokens. */
class EntryHostSpec :
    FunSpec({
        val connectionReset = BackendFault(Executed.UNKNOWN, "connection reset")

        fun events(answer: HttpResponse<String>) = answer.body().split("\n\n").filter { it.isNotEmpty() }

        fun texts(answer: HttpResponse<String>) =
            Regex(""""text":"([^"]*)"""").findAll(answer.body()).map { it.groupValues[1] }.toList()

        fun chunks(vararg parts: Pair<Int, String>, finish: Boolean = true) = flow {
            parts.forEachIndexed { i, (index, text) ->
                val last = finish && i == parts.lastIndex
                emit(TokenChunk(index, text, if (last) "stop" else null).right() as Either<BackendFault, TokenChunk>)
            }
        }

        test("a streamed chat answer carries every token and ends with DONE") {
            TestHost().use { test ->
                val answer = post("${test.url}/v1/chat/completions", CHAT)
                answer.statusCode() shouldBe 200
                answer.headers().firstValue("Content-Type").get() shouldContain "text/event-stream"
                val events = events(answer)
                events shouldHaveSize 3
                events[0] shouldContain """"delta":{"role":"assistant","content":"Hel"},"finish_reason":null"""
                events[1] shouldContain """"delta":{"content":"lo"},"finish_reason":"stop""""
                events[2] shouldBe "data: [DONE]"
            }
        }

        test("usage follows the last token if the caller requests it") {
            TestHost().use { test ->
                val withUsage = CHAT.dropLast(1) + ""","stream_options":{"include_usage":true}}"""
                events(post("${test.url}/v1/chat/completions", withUsage))[2] shouldContain
                    """"choices":[],"usage":{"prompt_tokens":5,"completion_tokens":2,"total_tokens":7}"""
            }
        }

        test("collected answers have the OpenAI format") {
            TestHost().use { test ->
                val chat = post("${test.url}/v1/chat/completions", CHAT.replace("true", "false")).body()
                chat shouldContain """"object":"chat.completion""""
                chat shouldContain """"message":{"role":"assistant","content":"Hello"},"finish_reason":"stop""""
                val plain = post("${test.url}/v1/completions", PLAIN.replace("true", "false")).body()
                plain shouldContain """"object":"text_completion""""
                plain shouldContain """"text":"Hello","finish_reason":"stop""""
            }
        }

        test("the reducer receives size, class and prefix hashes of a prompt, and the engine the complete prompt") {
            TestHost().use { test ->
                val prompt = "x".repeat(33_000)
                post("${test.url}/v1/completions", """{"model":"m","prompt":"$prompt","max_tokens":9}""")
                val arrived = test.reducer.next<HostEvent.RequestArrived>().request
                arrived.promptTokens shouldBe 8_250
                arrived.workClass shouldBe WorkClass.BATCH
                arrived.prefixHashes shouldHaveSize 8
                arrived.maxTokens shouldBe 9
                test.backends.requests.next().prompt shouldBe prompt
                post(
                    "${test.url}/v1/completions",
                    """{"model":"m","prompt":"$prompt"}""",
                    "X-Work-Class",
                    "interactive",
                )
                test.reducer.next<HostEvent.RequestArrived>().request.workClass shouldBe WorkClass.INTERACTIVE
            }
        }

        test("progress is reported at the first token and every 64 tokens") {
            TestHost().use { test ->
                test.backends.stream = { FakeBackends.tokens(*Array(130) { "t" }) }
                post("${test.url}/v1/completions", PLAIN)
                generateSequence { test.reducer.next<HostEvent>() }
                    .takeWhile { it !is HostEvent.DecodeEnded }
                    .filterIsInstance<HostEvent.TokensDelivered>()
                    .map { it.delivered }
                    .toList() shouldContainExactly listOf(1, 64, 128)
            }
        }

        class BrokenStream(val name: String, val firstAttempt: Array<Pair<Int, String>>)

        listOf(
            BrokenStream("that ends early", arrayOf(0 to "a", 1 to "b")),
            BrokenStream("with a missing token", arrayOf(0 to "a", 1 to "b", 3 to "x")),
            BrokenStream("with duplicated tokens", arrayOf(0 to "a", 0 to "a", 1 to "b", 1 to "x")),
        ).forEach { case ->
            test("a stream ${case.name} is resumed without a lost or duplicated token") {
                val script = { event: HostEvent ->
                    if (event is HostEvent.DecodeEnded && event.attempt == 1) {
                        event.delivered shouldBe 2
                        // The reducer gets progress only every 64 tokens, so it may resume before the last delivered
                        // token.
                        listOf(HostEffect.StartDecode(event.id, 2, decodeServer, kvHandle, 0, resumeFrom = 1))
                    } else {
                        serveAllRequests(event)
                    }
                }
                TestHost(script = script).use { test ->
                    test.backends.stream = {
                        if (it.attempt == 1) chunks(*case.firstAttempt, finish = false) else chunks(1 to "b", 2 to "c")
                    }
                    val answer = post("${test.url}/v1/completions", PLAIN)
                    texts(answer) shouldContainExactly listOf("a", "b", "c")
                    answer.body() shouldContain "data: [DONE]"
                }
            }
        }

        test("a stream that cannot be resumed ends with an error event and without DONE") {
            TestHost().use { test ->
                test.backends.stream = { flowOf(TokenChunk(0, "a").right(), connectionReset.left()) }
                val events = events(post("${test.url}/v1/completions", PLAIN))
                events shouldHaveSize 2
                events[1] shouldBe
                    """data: {"error":{"code":"AV-1504","message":"The stream broke and could not be """ +
                    """resumed.","executed":"unknown"}}"""
            }
        }

        test("a failure before the first token sets the HTTP status") {
            TestHost().use { test ->
                test.backends.stream = { flowOf(connectionReset.left()) }
                val answer = post("${test.url}/v1/completions", PLAIN)
                answer.statusCode() shouldBe 502
                answer.body() shouldContain """"executed":"unknown""""
            }
        }

        fun refuseAtOnce(event: HostEvent) = if (event is HostEvent.RequestArrived) {
            listOf(HostEffect.Refuse(event.request.id, ResultCode.TOKENS_UNAVAILABLE, retryAfterMillis = 2_300))
        } else {
            emptyList()
        }

        test("a refusal states when to retry and that the request was not executed") {
            TestHost(script = ::refuseAtOnce).use { test ->
                val answer = post("${test.url}/v1/completions", PLAIN)
                answer.statusCode() shouldBe 429
                answer.headers().firstValue("Retry-After").get() shouldBe "3"
                answer.body() shouldContain """"executed":"no""""
            }
        }

        test("a refusal after a possibly executed attempt states that the request may have been executed") {
            val script = { event: HostEvent ->
                if (event is HostEvent.DecodeEnded) {
                    listOf(HostEffect.Refuse(event.id, ResultCode.QUEUE_FULL))
                } else {
                    serveAllRequests(event)
                }
            }
            TestHost(script = script).use { test ->
                test.backends.stream = { flowOf(connectionReset.left()) }
                post("${test.url}/v1/completions", PLAIN).body() shouldContain """"executed":"unknown""""
            }
        }

        test("a stopped attempt closes the engine's stream and delivers no further token") {
            val closed = CountDownLatch(1)
            val script = { event: HostEvent ->
                if (event is HostEvent.TokensDelivered) {
                    listOf(
                        HostEffect.StopAttempt(event.id, event.attempt),
                        HostEffect.FailAnswer(event.id, ResultCode.KEY_WITHDRAWN),
                    )
                } else {
                    serveAllRequests(event)
                }
            }
            TestHost(script = script).use { test ->
                test.backends.stream = {
                    flow {
                        emit(TokenChunk(0, "a").right())
                        try {
                            awaitCancellation()
                        } finally {
                            closed.countDown()
                        }
                    }
                }
                val answer = post("${test.url}/v1/completions", PLAIN)
                closed.await(30, TimeUnit.SECONDS) shouldBe true
                texts(answer) shouldContainExactly listOf("a")
                answer.body() shouldContain ResultCode.KEY_WITHDRAWN.code
                answer.body() shouldNotContain "[DONE]"
            }
        }

        test("an unexpected error of the backend client also ends the request in the reducer") {
            TestHost().use { test ->
                test.backends.stream = { flow { error("unexpected") } }
                val answer = post("${test.url}/v1/completions", PLAIN)
                answer.statusCode() shouldBe 500
                answer.body() shouldContain """"executed":"unknown""""
                test.reducer.next<HostEvent.CallerGone>()
            }
        }

        test("a request that is being read when the host closes its port is answered before the host stops") {
            TestHost().use { test ->
                connect(test.host.callerPort).use { socket ->
                    val body = """{"model":"m","prompt":"hi"}"""
                    val request = rawRequest("Expect: 100-continue\r\n", body).decodeToString()
                    socket.getOutputStream().write(request.removeSuffix(body).toByteArray())
                    val answer = socket.getInputStream().bufferedReader()
                    answer.readLine() shouldBe "HTTP/1.1 100 Continue"
                    answer.readLine() shouldBe ""
                    val stopped = CompletableFuture.runAsync { test.host.finishCallers(60.seconds) }
                    await("the closed port") { runCatching { connect(test.host.callerPort).close() }.isFailure }
                    stopped.isDone shouldBe false
                    socket.getOutputStream().write(body.toByteArray())
                    answer.readLine() shouldBe "HTTP/1.1 200 OK"
                    stopped.get(30, TimeUnit.SECONDS)
                }
            }
        }

        test("concurrent answers do not mix their tokens") {
            TestHost().use { test ->
                test.backends.stream = { request ->
                    FakeBackends.tokens(*Array(50) { "${request.prompt}-$it" })
                }
                val answers = (1..20).map { n ->
                    val request = HttpRequest.newBuilder(URI("${test.url}/v1/completions"))
                        .header("Authorization", "Bearer ${TestHost.KEY}")
                        .POST(HttpRequest.BodyPublishers.ofString("""{"model":"m","prompt":"p$n","stream":true}"""))
                    n to http.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString())
                }
                answers.forEach { (n, answer) -> texts(answer.join()) shouldContainExactly List(50) { "p$n-$it" } }
            }
        }
    })
