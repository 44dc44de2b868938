package io.anvilvalve.net

import okhttp3.ConnectionPool
import okhttp3.Dispatcher
import okhttp3.OkHttpClient
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.toJavaDuration

/** Builds clients for callers of a host, as in the demo and the benchmarks; a host reads answers by [ServerCalls]. */
object HttpClients {
    private const val MAX_CONCURRENT_CALLS = 4_096
    private const val MAX_IDLE_CONNECTIONS = 256
    private const val KEEP_ALIVE_SECONDS = 60L

    /** More than any answer that is read as a whole, because an answer may consist of one line. */
    private const val MAX_LINE_BYTES = 17 * 1024 * 1024

    /**
     * Returns a client that sends each call at most once.
     *
     * By default, OkHttp retries calls on connection failures, follows redirects and repeats a call after 503 with
     * `Retry-After: 0`; each of these may execute a call twice.
     */
    fun create(connectTimeout: Duration = 1.seconds, readTimeout: Duration = 10.seconds): OkHttpClient =
        OkHttpClient.Builder()
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .followSslRedirects(false)
            .connectTimeout(connectTimeout.toJavaDuration())
            .readTimeout(readTimeout.toJavaDuration())
            .writeTimeout(readTimeout.toJavaDuration())
            .dispatcher(createDispatcher())
            .connectionPool(ConnectionPool(MAX_IDLE_CONNECTIONS, KEEP_ALIVE_SECONDS, TimeUnit.SECONDS))
            .addNetworkInterceptor(HeadCheck)
            .addNetworkInterceptor(NoFollowUp)
            .socketFactory(BoundedSockets(MAX_LINE_BYTES))
            .build()

    /** Raises the limit of concurrent calls: OkHttp's default of 5 per server would queue streams behind each other. */
    private fun createDispatcher() = Dispatcher().apply {
        maxRequests = MAX_CONCURRENT_CALLS
        maxRequestsPerHost = MAX_CONCURRENT_CALLS
    }
}
