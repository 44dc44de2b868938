package io.anvilvalve.host

import io.anvilvalve.api.result.ResultCode
import io.anvilvalve.core.HostEvent
import io.anvilvalve.settings.HostSettings
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldStartWith
import kotlin.time.Duration.Companion.milliseconds

/** Guards against invalid input that is executed, stops the host or gets an error without the right code. */
class InputFaultsSpec :
    FunSpec({
        val test = TestHost(HostSettings.Callers(maxBodyBytes = 64 * 1024, idleTimeout = 500.milliseconds))
        val port = test.host.callerPort
        afterSpec { test.close() }

        fun completion(fields: String) = """{"model":"m","prompt":"hi",$fields}"""

        fun refused(answer: String, code: ResultCode, status: Int = code.httpStatus) {
            answer shouldStartWith "HTTP/1.1 $status"
            answer shouldContain """{"error":{"code":"${code.code}","message":"""
            answer shouldContain """"executed":"no"}}"""
            test.reducer.received.filterNot { it is HostEvent.Tick } shouldBe emptyList()
            test.backends.requests.isEmpty() shouldBe true
        }

        class Body(val name: String, val code: ResultCode, val text: String)

        listOf(
            Body("invalid JSON", ResultCode.MALFORMED_REQUEST, "{"),
            Body("an array", ResultCode.MALFORMED_REQUEST, "[]"),
            Body("no bytes", ResultCode.MALFORMED_REQUEST, ""),
            Body("deep nesting", ResultCode.MALFORMED_REQUEST, """{"prompt":${"[".repeat(30_000)}"""),
            Body("no model", ResultCode.MALFORMED_REQUEST, """{"prompt":"hi"}"""),
            Body("an empty model", ResultCode.MALFORMED_REQUEST, """{"model":"","prompt":"hi"}"""),
            Body("a number as model", ResultCode.MALFORMED_REQUEST, """{"model":1,"prompt":"hi"}"""),
            Body("no prompt", ResultCode.MALFORMED_REQUEST, """{"model":"m"}"""),
            Body("an empty prompt", ResultCode.MALFORMED_REQUEST, """{"model":"m","prompt":""}"""),
            Body("several prompts", ResultCode.MALFORMED_REQUEST, """{"model":"m","prompt":["a","b"]}"""),
            Body("token IDs as prompt", ResultCode.MALFORMED_REQUEST, """{"model":"m","prompt":[1]}"""),
            Body("text as stream", ResultCode.MALFORMED_REQUEST, completion(""""stream":"yes"""")),
            Body("n above 1", ResultCode.MALFORMED_REQUEST, completion(""""n":2""")),
            Body("negative max_tokens", ResultCode.MAX_TOKENS_OUT_OF_RANGE, completion(""""max_tokens":-1""")),
            Body("zero max_tokens", ResultCode.MAX_TOKENS_OUT_OF_RANGE, completion(""""max_tokens":0""")),
            Body("too large max_tokens", ResultCode.MAX_TOKENS_OUT_OF_RANGE, completion(""""max_tokens":32769""")),
            Body("overflowing max_tokens", ResultCode.MAX_TOKENS_OUT_OF_RANGE, completion(""""max_tokens":1e99""")),
            Body("fractional max_tokens", ResultCode.MAX_TOKENS_OUT_OF_RANGE, completion(""""max_tokens":1.5""")),
            Body("text as max_tokens", ResultCode.MAX_TOKENS_OUT_OF_RANGE, completion(""""max_tokens":"8"""")),
            Body(
                "contradictory token limits",
                ResultCode.MAX_TOKENS_OUT_OF_RANGE,
                completion(""""max_tokens":8,"max_completion_tokens":9"""),
            ),
            Body("too many bytes", ResultCode.BODY_TOO_LARGE, completion(""""user":"${"x".repeat(70_000)}"""")),
        ).forEach { case ->
            test("a body with ${case.name} is refused") { refused(sendRaw(port, rawRequest("", case.text)), case.code) }
        }

        test("a body that is not UTF-8 is refused") {
            val request = rawRequest("", """{"model":"m","prompt":"?"}""")
            request[request.size - 3] = 0xff.toByte()
            refused(sendRaw(port, request), ResultCode.MALFORMED_REQUEST)
        }

        test("a chunked body over the limit is refused before it has been read completely") {
            val chunk = "8000\r\n" + "x".repeat(0x8000) + "\r\n"
            val request = rawRequest("", chunk.repeat(3), "Transfer-Encoding: chunked\r\n")
            refused(sendRaw(port, request), ResultCode.BODY_TOO_LARGE)
        }

        val validBody = completion(""""max_tokens":8""")
        class Header(val name: String, val code: ResultCode, val lines: String, val status: Int = code.httpStatus)

        listOf(
            Header("a second API key", ResultCode.MALFORMED_REQUEST, "Authorization: Bearer other\r\n"),
            Header("an unknown class", ResultCode.MALFORMED_REQUEST, "X-Work-Class: fast\r\n"),
            Header("two classes", ResultCode.MALFORMED_REQUEST, "X-Work-Class: batch\r\nX-Work-Class: interactive\r\n"),
            Header(
                "two idempotency keys",
                ResultCode.MALFORMED_REQUEST,
                "Idempotency-Key: a\r\nIdempotency-Key: b\r\n",
            ),
            Header("a long idempotency key", ResultCode.MALFORMED_REQUEST, "Idempotency-Key: ${"a".repeat(256)}\r\n"),
            Header("a content encoding", ResultCode.MALFORMED_REQUEST, "Content-Encoding: gzip\r\n"),
            Header("a content length and chunks", ResultCode.MALFORMED_REQUEST, "Transfer-Encoding: chunked\r\n"),
            Header("a second content length", ResultCode.MALFORMED_REQUEST, "Content-Length: 3\r\n"),
            Header("a space before the colon", ResultCode.MALFORMED_REQUEST, "X-Other : 1\r\n"),
            Header("a second host", ResultCode.MALFORMED_REQUEST, "Host: other\r\n"),
            Header("too many bytes", ResultCode.MALFORMED_REQUEST, "X-Other: ${"a".repeat(20_000)}\r\n", status = 431),
        ).forEach { case ->
            test("headers with ${case.name} are refused") {
                refused(sendRaw(port, rawRequest(case.lines, validBody)), case.code, case.status)
            }
        }

        listOf(
            "" to "no key",
            "Authorization: Basic eA==\r\n" to "another scheme",
            "Authorization: Bearer \r\n" to "an empty key",
        )
            .forEach { (header, name) ->
                test("a request with $name is refused") {
                    val text = rawRequest("", validBody).decodeToString()
                        .replace("Authorization: Bearer ${TestHost.KEY}\r\n", header)
                    refused(sendRaw(port, text.toByteArray()), ResultCode.KEY_MISSING)
                }
            }

        test("invalid chat messages are refused") {
            listOf(
                """[]""",
                """[{"content":"hi"}]""",
                """[{"role":"user","content":5}]""",
                """[{"role":"user","content":[{"type":"image_url","image_url":{"url":"x"}}]}]""",
            ).forEach { messages ->
                val answer = post("${test.url}/v1/chat/completions", """{"model":"m","messages":$messages}""")
                answer.statusCode() shouldBe 400
                answer.body() shouldContain ResultCode.MALFORMED_REQUEST.code
            }
        }

        test("an unknown path gets status 404 and a JSON error body") {
            val answer = post("${test.url}/v1/other", "{}")
            answer.statusCode() shouldBe 404
            answer.body() shouldContain ResultCode.UNKNOWN_ROUTE.code
        }

        test("a caller that stops sending in the middle of its body is refused after the idle timeout") {
            connect(port).use { socket ->
                socket.getOutputStream().write(rawRequest("", validBody, "Content-Length: 1000\r\n"))
                val answer = readResponse(socket)
                refused(answer, ResultCode.REQUEST_TIMEOUT)
            }
        }

        test("the host still serves requests after all invalid ones") {
            post("${test.url}/v1/completions", validBody).statusCode() shouldBe 200
        }
    })
