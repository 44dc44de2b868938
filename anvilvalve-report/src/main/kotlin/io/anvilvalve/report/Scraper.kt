package io.anvilvalve.report

import io.anvilvalve.net.SingleUseCalls
import io.anvilvalve.net.executeWithin
import io.anvilvalve.net.toCallRequest
import okhttp3.Headers.Companion.headersOf
import okhttp3.HttpUrl.Companion.toHttpUrl
import java.io.IOException
import kotlin.time.Duration.Companion.seconds

/** Reads `/metrics` of hosts; sends [token], which the operators' listener may require, as a bearer token. */
internal class Scraper(private val token: String? = null) {
    private val calls = SingleUseCalls(TIMEOUT)

    /** Returns one sample per host; the sample of a host that cannot be read has null counters. */
    fun scrape(hosts: List<String>, atMillis: Long): List<Sample> =
        hosts.parallelStream().map { host -> scrape(host, atMillis) }.toList()

    private fun scrape(host: String, atMillis: Long): Sample {
        val head = token?.let { headersOf("Authorization", "Bearer $it") } ?: headersOf()
        val request = "http://$host/metrics".toHttpUrl().toCallRequest(head)
        return try {
            calls.create(request).executeWithin(TIMEOUT) { answer ->
                val text = answer.bytesAtMost(MAX_METRICS_BYTES).decodeToString()
                if (answer.status in SUCCESS_STATUSES) Sample.of(atMillis, host, text) else Sample(atMillis, host)
            }
        } catch (_: IOException) {
            Sample(atMillis, host)
        }
    }

    companion object {
        /** Each organisation and model adds some lines. */
        const val MAX_METRICS_BYTES = 16L * 1024 * 1024
        private val TIMEOUT = 10.seconds
        private val SUCCESS_STATUSES = 200..299
    }
}
