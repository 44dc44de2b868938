package io.anvilvalve.report

import io.anvilvalve.net.bytesAtMost
import okhttp3.OkHttpClient
import okhttp3.Request
import java.io.IOException
import java.util.concurrent.TimeUnit

/** Reads `/metrics` of hosts; sends [token], which the operators' listener may require, as a bearer token. */
internal class Scraper(private val token: String? = null) {
    private val client = OkHttpClient.Builder().callTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS).build()

    /** Returns one sample per host; the sample of a host that cannot be read has null counters. */
    fun scrape(hosts: List<String>, atMillis: Long): List<Sample> =
        hosts.parallelStream().map { host -> scrape(host, atMillis) }.toList()

    private fun scrape(host: String, atMillis: Long): Sample {
        val request = Request.Builder().url("http://$host/metrics")
        token?.let { request.header("Authorization", "Bearer $it") }
        return try {
            client.newCall(request.build()).execute().use { response ->
                val text = response.body.bytesAtMost(MAX_METRICS_BYTES).decodeToString()
                if (response.isSuccessful) Sample.of(atMillis, host, text) else Sample(atMillis, host)
            }
        } catch (_: IOException) {
            Sample(atMillis, host)
        }
    }

    companion object {
        /** Each organisation and model adds some lines. */
        const val MAX_METRICS_BYTES = 16L * 1024 * 1024
        private const val TIMEOUT_SECONDS = 10L
    }
}
