package io.anvilvalve.host

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse

internal val http: HttpClient = HttpClient.newHttpClient()

internal fun post(url: String, body: String, vararg headers: String): HttpResponse<String> {
    val request = HttpRequest.newBuilder(URI(url)).POST(HttpRequest.BodyPublishers.ofString(body))
        .header("Authorization", "Bearer ${TestHost.KEY}")
    headers.toList().chunked(2).forEach { (name, value) -> request.header(name, value) }
    return http.send(request.build(), HttpResponse.BodyHandlers.ofString())
}

internal const val CHAT = """{"model":"m","messages":[{"role":"user","content":"hi"}],"max_tokens":8,"stream":true}"""

/** Guards against answers that differ from the OpenAI API, and against tokens that are lost on the way. */
class EntryHostSpec :
    FunSpec({
        test("a streamed chat answer carries every token and ends with DONE") {
            TestHost().use { test ->
                val answer = post("${test.url}/v1/chat/completions", CHAT)
                answer.statusCode() shouldBe 200
                answer.headers().firstValue("Content-Type").get() shouldContain "text/event-stream"
                val events = answer.body().split("\n\n").filter { it.isNotEmpty() }
                events shouldHaveSize 3
                events[0] shouldContain """"delta":{"role":"assistant","content":"Hel"},"finish_reason":null"""
                events[1] shouldContain """"delta":{"content":"lo"},"finish_reason":"stop""""
                events[2] shouldBe "data: [DONE]"
            }
        }
    })
