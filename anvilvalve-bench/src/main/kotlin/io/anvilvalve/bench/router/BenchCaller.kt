package io.anvilvalve.bench.router

import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody

/** Streams completions and records the arrival time of each token; sends [key] if it is not null. */
internal class BenchCaller(private val http: OkHttpClient, private val address: String, private val key: String?) {
    /** Runs one request and returns the arrival time of each token in nanoseconds after the start. */
    fun stream(model: String, tokens: Int): LongArray {
        val body = """{"model":"$model","prompt":"$PROMPT","max_tokens":$tokens,"stream":true}"""
        val request = Request.Builder().url("http://$address/v1/completions").post(body.toRequestBody())
        key?.let { request.header("Authorization", "Bearer $it") }
        val times = LongArray(tokens)
        val start = System.nanoTime()
        http.newCall(request.build()).execute().use { response ->
            check(response.code == HTTP_OK) { "expected status 200, got ${response.code}: ${response.body.string()}" }
            val source = response.body.source()
            var count = 0
            while (count < tokens) {
                val line = source.readUtf8Line() ?: error("the answer stream ended early, after $count tokens")
                if (line.startsWith("data: ")) times[count++] = System.nanoTime() - start
            }
            while (source.readUtf8Line() != null) Unit
        }
        return times
    }

    companion object {
        private const val HTTP_OK = 200
        const val PROMPT = "Which plat shows lot 7?"
    }
}
