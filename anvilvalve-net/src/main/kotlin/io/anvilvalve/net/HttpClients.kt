package io.anvilvalve.net

import okhttp3.ConnectionPool
import okhttp3.Dispatcher
import okhttp3.OkHttpClient
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.toJavaDuration

/** Builds the HTTP clients of a process. */
object HttpClients {
    private const val MAX_CONCURRENT_CALLS = 4_096
    private const val MAX_IDLE_CONNECTIONS = 256
    private const val KEEP_ALIVE_SECONDS = 60L

    /** More than any answer that is read as a whole, because an answer may consist of one line. */
    private const val MAX_LINE_BYTES = 17 * 1024 * 1024

    /**
     * Returns a client that neither retries calls on connection failures nor follows redirects.
     *
     * It still repeats a call once after 503 with `Retry-After: 0`; calls that must be sent once use [SingleUseCalls].
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
            .addNetworkInterceptor(FramingCheck)
            .socketFactory(BoundedSockets(MAX_LINE_BYTES))
            .build()

    /** Raises the limit of concurrent calls: OkHttp's default of 5 per server would queue streams behind each other. */
    private fun createDispatcher() = Dispatcher().apply {
        maxRequests = MAX_CONCURRENT_CALLS
        maxRequestsPerHost = MAX_CONCURRENT_CALLS
    }
}
