package io.anvilvalve.demo

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.delay
import kotlinx.coroutines.withContext
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.contentOrNull
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** Sends requests as callers do, and retries them when the answer says that the request was not executed. */
internal class CallerClient(private val http: OkHttpClient) {
    // Blocking calls of many callers would occupy all threads that the hosts and stand-ins of this process share.
    private val callerDispatcher = Dispatchers.IO.limitedParallelism(MAX_CALLERS)

    /** Sends [call] to [hosts] in turn until one executes it, at most [MAX_ATTEMPTS] times. */
    suspend fun send(hosts: List<DemoHost>, call: ModelCall, onToken: (Int) -> Unit = {}): CallerAnswer {
        var answer = sendOnce(hosts.first(), call, onToken)
        var attempts = 1
        while (answer.notRun && answer.status in RETRYABLE_STATUSES && attempts < MAX_ATTEMPTS) {
            delay(RETRY_DELAY)
            answer = sendOnce(hosts[attempts % hosts.size], call, onToken)
            attempts++
        }
        return answer
    }

    /** Sends [call] to [host] without retries; [onToken] receives the number of tokens so far. */
    suspend fun sendOnce(host: DemoHost, call: ModelCall, onToken: (Int) -> Unit = {}): CallerAnswer =
        withContext(callerDispatcher) {
            val path = if (call.chat) "chat/completions" else "completions"
            val request = Request.Builder().url("http://${host.callerAddress}/v1/$path")
                .header("Authorization", "Bearer ${call.tenant.key}")
                .post(requestBody(call).toRequestBody())
                .build()
            val start = TimeSource.Monotonic.markNow()
            AnswerReader(call, start, onToken).use { it.execute(request) }.copy(duration = start.elapsedNow())
        }

    /** Calls a plain service through [host] and returns the status and the body. */
    suspend fun callService(
        host: DemoHost,
        path: String,
        key: String? = null,
        idempotencyKey: String? = null,
    ): Pair<Int, String> = withContext(callerDispatcher) {
        val request = Request.Builder().url("http://${host.callerAddress}/svc/$path").post("{}".toRequestBody())
        key?.let { request.header("Authorization", "Bearer $it") }
        idempotencyKey?.let { request.header("Idempotency-Key", it) }
        http.newCall(request.build()).execute().use { it.code to it.body.string() }
    }

    private fun requestBody(call: ModelCall): String = buildJsonObject {
        put("model", call.model.value)
        put("max_tokens", call.maxTokens)
        put("stream", call.stream)
        if (!call.chat) put("prompt", call.text)
        if (call.chat) {
            putJsonArray("messages") {
                addJsonObject {
                    put("role", "user")
                    put("content", call.text)
                }
            }
        }
    }.toString()

    /** Sends one request and reads its answer. */
    private inner class AnswerReader(
        private val call: ModelCall,
        private val start: TimeSource.Monotonic.ValueTimeMark,
        private val onToken: (Int) -> Unit,
    ) : AutoCloseable {
        private val text = StringBuilder()
        private var tokens = 0
        private var firstToken: Duration? = null
        private var finished = false
        private var response: Response? = null

        fun execute(request: Request): CallerAnswer = try {
            val answer = http.newCall(request).execute().also { response = it }
            when {
                answer.code != HTTP_OK -> errorAnswer(answer.code, answer.body.string())
                call.stream -> readStream(answer)
                else -> readBody(answer.body.string())
            }
        } catch (e: IOException) {
            CallerAnswer(response?.code ?: 0, text.toString(), complete = false, error = e.toString())
        }

        private fun readStream(answer: Response): CallerAnswer {
            val source = answer.body.source()
            while (true) {
                val line = source.readUtf8Line() ?: return successAnswer(complete = false)
                val data = line.removePrefix("data: ")
                if (data == line) continue
                if (data == "[DONE]") return successAnswer(complete = finished)
                val event = Json.parseToJsonElement(data).jsonObject
                if ("error" in event) return errorAnswer(answer.code, data)
                appendToken(event)
                if (tokens == call.cancelAfter) return successAnswer(complete = false)
            }
        }

        private fun readBody(body: String): CallerAnswer {
            appendToken(Json.parseToJsonElement(body).jsonObject)
            return successAnswer(complete = finished)
        }

        private fun appendToken(event: JsonObject) {
            val choice = event.getValue("choices").jsonArray.firstOrNull()?.jsonObject ?: return
            val part = choice["delta"] ?: choice["message"]
            val content = if (part == null) choice["text"] else part.jsonObject["content"]
            text.append(content?.jsonPrimitive?.contentOrNull.orEmpty())
            if (choice["finish_reason"]?.jsonPrimitive?.contentOrNull != null) finished = true
            if (tokens++ == 0) firstToken = start.elapsedNow()
            onToken(tokens)
        }

        private fun successAnswer(complete: Boolean) =
            CallerAnswer(HTTP_OK, text.toString(), complete, firstToken = firstToken)

        private fun errorAnswer(status: Int, body: String): CallerAnswer {
            val error = Json.parseToJsonElement(body).jsonObject.getValue("error").jsonObject
            return CallerAnswer(
                status,
                text.toString(),
                complete = false,
                error = error["code"]?.jsonPrimitive?.contentOrNull,
                notRun = error["executed"]?.jsonPrimitive?.contentOrNull == "no",
            )
        }

        /** Closes the answer; this also closes the connection if the answer was not read to its end. */
        override fun close() {
            response?.close()
        }
    }

    companion object {
        /** Maximum number of times that a request is sent while the answers say that it was not executed. */
        const val MAX_ATTEMPTS = 20

        private const val HTTP_OK = 200
        private const val MAX_CALLERS = 256
        private val RETRYABLE_STATUSES = setOf(429, 503)
        private val RETRY_DELAY = 250.milliseconds
    }
}
