package io.anvilvalve.host.routing

import io.anvilvalve.net.ConnectionPool
import io.anvilvalve.net.PooledCalls
import io.anvilvalve.net.ServerCalls
import io.anvilvalve.rules.routing.RoutingEffect
import io.prometheus.metrics.core.metrics.CounterWithCallback
import io.prometheus.metrics.core.metrics.GaugeWithCallback
import io.prometheus.metrics.model.registry.PrometheusRegistry
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Connections to backend servers: new ones, and idle ones that are kept as the routing rules allow. */
internal class ServerConnections(connectTimeout: Duration) : AutoCloseable {
    private val pool = ConnectionPool(MAX_IDLE)
    private val timer = Executors.newSingleThreadScheduledExecutor {
        Thread(it, "idle-connections").apply { isDaemon = true }
    }

    /** Calls on these connections. */
    val calls: ServerCalls = PooledCalls(pool, connectTimeout)

    /** Starts to close connections that have been idle for too long. */
    fun start() {
        timer.scheduleWithFixedDelay(pool::closeExpired, CHECK_MILLIS, CHECK_MILLIS, TimeUnit.MILLISECONDS)
    }

    fun perform(effect: RoutingEffect.KeepConnections) = pool.retain(effect.limits)

    fun register(registry: PrometheusRegistry) {
        CounterWithCallback.builder()
            .name("anvilvalve_server_connections")
            .help(
                "Connections opened to backend servers, and calls sent on a connection that had carried another call.",
            )
            .labelNames("connection")
            .callback {
                it.call(pool.openedCount.toDouble(), "new")
                it.call(pool.reusedCount.toDouble(), "reused")
            }
            .register(registry)
        GaugeWithCallback.builder()
            .name("anvilvalve_idle_server_connections")
            .help("Idle connections to backend servers.")
            .callback { it.call(pool.idleCount.toDouble()) }
            .register(registry)
    }

    override fun close() {
        timer.shutdownNow()
        pool.close()
    }

    companion object {
        /**
         * Covers the calls that a host ends within the time for which connections are kept: the largest hosts of the
         * deployments answer about 30 a second.
         */
        const val MAX_IDLE = 64
        private val CHECK_MILLIS = 500.milliseconds.inWholeMilliseconds
    }
}
