package io.anvilvalve.standins.http

import io.javalin.Javalin
import io.javalin.compression.CompressionStrategy
import io.javalin.config.RoutesConfig
import io.javalin.http.Context
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.future.future
import kotlinx.coroutines.launch
import org.eclipse.jetty.util.thread.QueuedThreadPool
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** HTTP server of one stand-in on the loopback address; port 0 selects a free port. */
class StandinServer internal constructor(
    requestedPort: Int,
    private val closeCheckInterval: Duration = CLOSE_CHECK_INTERVAL,
    routes: RoutesConfig.(StandinServer) -> Unit,
) : AutoCloseable {
    // A separate view, because blocking callers in the same process could occupy all threads of the shared dispatcher.
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO.limitedParallelism(MAX_THREADS))
    private val javalin = Javalin.create { config ->
        config.startup.showJavalinBanner = false
        config.startup.startupWatcherEnabled = false
        config.http.compressionStrategy = CompressionStrategy.NONE
        config.http.maxRequestSize = MAX_BODY_BYTES
        config.jetty.threadPool = QueuedThreadPool(MAX_THREADS, MIN_THREADS)
        config.routes.routes(this)
    }.start(LOOPBACK, requestedPort)

    /** Port that the server listens on. */
    val port: Int = javalin.port()

    /** Address as `host:port`, the form used in release notes. */
    val address: String = "$LOOPBACK:$port"

    /** Runs [handler] without blocking a server thread; cancels it when the caller closes the connection. */
    internal fun handleAsync(ctx: Context, handler: suspend (Context) -> Unit) {
        // Reads the body into the context, because the check for a closed connection would consume unread bytes.
        ctx.bodyAsBytes()
        ctx.future { scope.future { handleUntilClosed(ctx, handler) } }
    }

    private suspend fun handleUntilClosed(ctx: Context, handler: suspend (Context) -> Unit) = coroutineScope {
        val connection = CallerConnection.of(ctx)
        val closeMonitor = launch {
            connection.awaitClose(closeCheckInterval)
            this@coroutineScope.cancel("caller closed the connection")
        }
        handler(ctx)
        // A check still running after the response would consume a byte of the caller's next request.
        closeMonitor.cancelAndJoin()
    }

    override fun close() {
        scope.cancel()
        javalin.stop()
    }

    private companion object {
        val CLOSE_CHECK_INTERVAL = 50.milliseconds
        const val LOOPBACK = "127.0.0.1"
        const val MAX_BODY_BYTES = 16_000_000L
        const val MIN_THREADS = 4
        const val MAX_THREADS = 64
    }
}
