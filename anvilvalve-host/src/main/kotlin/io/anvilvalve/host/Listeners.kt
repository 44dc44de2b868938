package io.anvilvalve.host

import io.anvilvalve.api.result.ResultCode
import io.anvilvalve.settings.HostSettings
import io.javalin.Javalin
import io.javalin.compression.CompressionStrategy
import io.javalin.config.JavalinConfig
import io.javalin.http.HandlerType
import org.eclipse.jetty.server.HttpConfiguration
import org.eclipse.jetty.server.NetworkConnectionLimit
import org.eclipse.jetty.server.ServerConnector
import org.eclipse.jetty.util.thread.QueuedThreadPool
import java.util.concurrent.CompletableFuture
import kotlin.time.Duration
import kotlin.time.TimeSource

private const val SPARE_THREADS = 32
private const val MIN_THREADS = 8
private const val MAX_REQUEST_HEADER_BYTES = 16 * 1024
private const val OPERATOR_THREADS = 16
private val serviceMethods =
    listOf(HandlerType.GET, HandlerType.POST, HandlerType.PUT, HandlerType.PATCH, HandlerType.DELETE)

/** Builds the callers' listener with one thread per open request and spare threads for short calls. */
internal fun callersListener(
    settings: HostSettings.Callers,
    bounds: ConnectionBounds,
    api: CallersApi,
    info: InfoApi,
    log: EventLog,
): Javalin = Javalin.create { config ->
    val threads = settings.maxRequests + SPARE_THREADS
    config.listen(settings.address, settings.port, threads, settings.idleTimeout, bounds, log)
    config.routes.post("/v1/chat/completions") { api.completion(it.req(), it.res(), chat = true) }
    config.routes.post("/v1/completions") { api.completion(it.req(), it.res(), chat = false) }
    config.routes.get("/v1/models") { info.models(it.res()) }
    config.routes.get("/healthz") { info.health(it.res()) }
    config.routes.get("/readyz") { info.ready(it.res()) }
    config.routes.get("/metrics") { info.metrics(it.res()) }
    serviceMethods.forEach { method ->
        config.routes.addHttpHandler(method, "/svc/{route}") {
            api.service(it.req(), it.res(), it.pathParam("route"))
        }
        config.routes.addHttpHandler(method, "/svc/{route}/<path>") {
            api.service(it.req(), it.res(), it.pathParam("route"))
        }
    }
}

/** Builds the operators' listener. */
internal fun operatorsListener(
    settings: HostSettings.Operators,
    idleTimeout: Duration,
    bounds: ConnectionBounds,
    api: OperatorsApi,
    info: InfoApi,
    log: EventLog,
): Javalin = Javalin.create { config ->
    config.listen(settings.address, settings.port, OPERATOR_THREADS, idleTimeout, bounds, log)
    config.routes.get("/metrics") { info.metrics(it.res()) }
    config.routes.get("/healthz") { info.health(it.res()) }
    config.routes.get("/readyz") { info.ready(it.res()) }
    config.routes.get("/admin/status") { api.status(it.req(), it.res()) }
    config.routes.post("/admin/keys/withdraw") { api.withdrawKey(it.req(), it.res()) }
    config.routes.post("/admin/drain") { api.drain(it.req(), it.res()) }
}

/**
 * Adds a connector at [address] and [port] with JSON error bodies and sets the size of the thread pool.
 *
 * @param threads maximum number of threads, to which spare threads are added.
 * @param bounds bounds on the connections of all connectors of this listener together.
 * @param time measures how long connections are idle.
 * @param configureHttp adjusts the HTTP configuration of the connector.
 */
internal fun JavalinConfig.listen(
    address: String,
    port: Int,
    threads: Int,
    idleTimeout: Duration,
    bounds: ConnectionBounds,
    log: EventLog,
    time: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    configureHttp: (HttpConfiguration) -> Unit = {},
) {
    startup.showJavalinBanner = false
    startup.showOldJavalinVersionWarning = false
    http.compressionStrategy = CompressionStrategy.NONE
    jetty.threadPool = QueuedThreadPool(threads + SPARE_THREADS, MIN_THREADS)
    jetty.modifyServer {
        it.errorHandler = JsonErrorHandler()
        it.addBean(NetworkConnectionLimit(bounds.maxConnections, it))
    }
    addConnector(address, port, idleTimeout, bounds, time, configureHttp)
    routes.error(NOT_FOUND, "*") { ctx ->
        if (!ctx.res().isCommitted) ctx.res().sendError(ResultCode.UNKNOWN_ROUTE, status = NOT_FOUND)
    }
    routes.exception(Exception::class.java) { e, ctx ->
        log.error(e)
        if (!ctx.res().isCommitted) ctx.res().sendError(ResultCode.INTERNAL_ERROR)
    }
}

/** Adds a connector at [address] and [port]; [configureHttp] adjusts its HTTP configuration. */
internal fun JavalinConfig.addConnector(
    address: String,
    port: Int,
    idleTimeout: Duration,
    bounds: ConnectionBounds,
    time: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    configureHttp: (HttpConfiguration) -> Unit = {},
) = jetty.addConnector { server, http ->
    ServerConnector(server, CallerConnectionFactory(http.also(configureHttp), time, bounds)).apply {
        http.sendServerVersion = false
        http.requestHeaderSize = MAX_REQUEST_HEADER_BYTES
        this.host = address
        this.port = port
        this.idleTimeout = idleTimeout.inWholeMilliseconds
        acceptedReceiveBufferSize = ClientLimits.RECEIVE_BUFFER_BYTES
    }
}

private const val NOT_FOUND = 404

/** Connectors of a started listener. */
internal fun Javalin.connectors(): List<ServerConnector> =
    jettyServer().server().connectors.filterIsInstance<ServerConnector>()

/** Connections that are open to a started listener. */
internal fun Javalin.connections(): List<CallerConnection> =
    connectors().flatMap { it.connectedEndPoints }.filter { it.isOpen }.map { it.connection }
        .filterIsInstance<CallerConnection>()

/**
 * Closes the ports of a started listener; connections that are open stay open. The result is completed when the last one
 * is closed.
 */
internal fun Javalin.stopAccepting(): CompletableFuture<Void> = CompletableFuture.allOf(
    *connectors().filter { it.isOpen }.map {
        // By default a connector also shortens the idle time-out of its connections, and requests may run for longer.
        it.shutdownIdleTimeout = it.idleTimeout
        it.shutdown()
    }.toTypedArray(),
)
