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

    /**
     * Returns a client that sends each call at most once.
     *
     * OkHttp repeats calls on connection faults and follows redirects by default; both would run a call twice.
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
            .eventListenerFactory(SentListenerFactory)
            .build()

    /**
     * Returns a client that opens a connection for each call and has no time-out but that of connecting.
     *
     * A backend server may send a second answer on a kept connection, and may close one while a request is under way.
     */
    fun createSingleUse(connectTimeout: Duration): OkHttpClient = create(connectTimeout, Duration.ZERO)
        .newBuilder()
        .fastFallback(false)
        .connectionPool(ConnectionPool(0, 1, TimeUnit.MILLISECONDS))
        .build()

    /** OkHttp's default of 5 calls per server would queue streams behind each other. */
    private fun createDispatcher() = Dispatcher().apply {
        maxRequests = MAX_CONCURRENT_CALLS
        maxRequestsPerHost = MAX_CONCURRENT_CALLS
    }
}
