package io.anvilvalve.rules.routing

import io.anvilvalve.api.routing.Backend
import io.anvilvalve.api.routing.ServiceId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Median share of failed calls at the servers of a service. Servers are compared with it, because many calls may fail at
 * every server.
 */
internal class FailureBaselines(
    private val out: Outbox,
    private val directory: Directory,
    private val health: (Backend) -> ServerHealth,
) {
    private class Baseline(val value: Double, val at: Duration)

    private val baselines = HashMap<ServiceId, Baseline>()

    fun of(service: ServiceId): Double {
        baselines[service]?.let { if (out.now - it.at < VALIDITY) return it.value }
        val value = median(service)
        baselines[service] = Baseline(value, out.now)
        return value
    }

    private fun median(service: ServiceId): Double {
        val shares = directory.of(service).filter { it.stage == null && !it.leaving && !health(it).isEjected(out.now) }
            .map { health(it).failureShare }.sorted()
        return if (shares.isEmpty()) 0.0 else shares[(shares.size - 1) / 2]
    }

    private companion object {
        /** The median changes slowly, and a coordinator makes hundreds of choices a second. */
        val VALIDITY = 25.milliseconds
    }
}
