package io.anvilvalve.host.routing

import io.anvilvalve.api.result.ResultCode
import io.anvilvalve.host.ConnectionBounds
import io.anvilvalve.host.EventLog
import io.anvilvalve.host.HostMetrics
import io.anvilvalve.host.LimitReports
import io.anvilvalve.host.addConnector
import io.anvilvalve.host.connectors
import io.anvilvalve.host.hasBody
import io.anvilvalve.host.listen
import io.anvilvalve.host.sendBody
import io.anvilvalve.host.sendError
import io.anvilvalve.settings.RoutingHostSettings
import io.javalin.Javalin
import io.javalin.http.HandlerType
import jakarta.servlet.http.HttpServletResponse
import org.eclipse.jetty.ee10.servlet.ServletContextHandler
import org.eclipse.jetty.http.UriCompliance
import org.eclipse.jetty.server.HttpConfiguration
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

private const val OPERATIONS_THREADS = 4

/** Fewer than the threads of the listener, so that clients that do not read cannot occupy all of them. */
private const val OPERATIONS_CONNECTIONS = 32
private val operationsIdleTimeout = 5.seconds
private val operationsHeaderTimeout = 1.seconds
private val operationsCrowdedAge = 5.seconds

/** Idle time-out of callers' connections until the configuration has been read. */
private val callersIdleTimeout = 60.seconds

/** Callers may use any method; paths are not interpreted beyond the prefix that selects the route. */
private val callerMethods = listOf(
    HandlerType.GET,
    HandlerType.POST,
    HandlerType.PUT,
    HandlerType.PATCH,
    HandlerType.DELETE,
    HandlerType.HEAD,
    HandlerType.OPTIONS,
)

/** Builds the callers' listener. */
internal fun routingListener(
    settings: RoutingHostSettings.Callers,
    bounds: ConnectionBounds,
    api: RoutingApi,
    log: EventLog,
    time: TimeSource.WithComparableMarks,
): Javalin = Javalin.create { config ->
    val at = settings.listen
    config.listen(at.address, at.port, settings.maxRequests, callersIdleTimeout, bounds, log, time) { http ->
        http.uriCompliance = UriCompliance.UNSAFE
        http.sendDateHeader = false
    }
    config.jetty.modifyServletContextHandler { it.allowAnyPath() }
    callerMethods.forEach { method ->
        config.routes.addHttpHandler(method, "*") { api.handle(it.req(), it.res()) }
    }
}

/** Bounds on the connections of the listener for probes and metrics. */
internal fun operationsBounds(reports: LimitReports) = ConnectionBounds(
    OPERATIONS_CONNECTIONS,
    reports,
    crowdedAge = operationsCrowdedAge,
) { operationsHeaderTimeout }

/** Builds the listener for the platform's probes, with readiness at [readinessPath], and for the metrics. */
internal fun operationsListener(
    settings: RoutingHostSettings.Operations,
    readinessPath: String,
    ready: () -> Boolean,
    bounds: ConnectionBounds,
    metrics: RoutingMetrics,
    log: EventLog,
): Javalin = Javalin.create { config ->
    val at = settings.listen
    config.listen(at.address, at.port, OPERATIONS_THREADS, operationsIdleTimeout, bounds, log)
    config.addConnector(at.address, settings.metricsPort, operationsIdleTimeout, bounds)
    config.routes.before { ctx ->
        if (ctx.req().hasBody) {
            // The body is not read, so the connection cannot carry another request.
            ctx.res().setHeader("Connection", "close")
            ctx.res().sendError(ResultCode.BODY_TOO_LARGE)
            ctx.skipRemainingHandlers()
        }
    }
    config.routes.get(readinessPath) { sendReadiness(it.res(), ready()) }
    config.routes.get("/healthz") { it.res().sendBody("text/plain", "ok\n".toByteArray()) }
    config.routes.get("/metrics") { it.res().sendBody(HostMetrics.CONTENT_TYPE, metrics.expose()) }
}

/** Applies the idle time-out that operators configured to new connections. */
internal fun Javalin.setIdleTimeout(time: Duration) = connectors().forEach { it.idleTimeout = time.inWholeMilliseconds }

private fun sendReadiness(response: HttpServletResponse, ready: Boolean) {
    if (!ready) response.status = HttpServletResponse.SC_SERVICE_UNAVAILABLE
    response.sendBody("text/plain", (if (ready) "ready\n" else "not ready\n").toByteArray())
}

private fun ServletContextHandler.allowAnyPath() {
    servletHandler.isDecodeAmbiguousURIs = true
}
