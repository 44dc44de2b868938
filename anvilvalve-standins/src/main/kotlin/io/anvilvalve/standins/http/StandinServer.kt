package io.anvilvalve.standins.http

import io.javalin.Javalin
import io.javalin.compression.CompressionStrategy
import io.javalin.config.RoutesConfig
import io.javalin.http.Context
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.future.future
import kotlinx.coroutines.launch
import org.eclipse.jetty.util.thread.QueuedThreadPool

/** HTTP listener of one stand-in on loopback; port 0 takes a free port. */
class StandinServer internal constructor(requestedPort: Int, routes: RoutesConfig.(StandinServer) -> Unit) :
    AutoCloseable {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.IO)
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

    /** Address as a release note names it. */
    val address: String = "$LOOPBACK:$port"

    /** Runs [handler] without holding a server thread; it is cancelled when the caller closes the connection. */
    internal fun answer(ctx: Context, handler: suspend (Context) -> Unit) = ctx.future {
        scope.future {
            val connection = CallerConnection.of(ctx)
            val watch = launch { connection.awaitClose(onClose = { this@future.cancel("the caller is gone") }) }
            handler(ctx)
            watch.cancel()
        }
    }

    override fun close() {
        scope.cancel()
        javalin.stop()
    }

    private companion object {
        const val LOOPBACK = "127.0.0.1"
        const val MAX_BODY_BYTES = 16_000_000L
        const val MIN_THREADS = 4
        const val MAX_THREADS = 64
    }
}
