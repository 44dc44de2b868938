package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.result.LogEvent
import io.anvilvalve.api.routing.Backend
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** How long backend servers remain cold, as far as their entries and their answers tell. */
internal class ColdTimes(private val out: Outbox) {
    private class Cold(var until: Duration, var assumedUntil: Duration) {
        val end: Duration get() = maxOf(until, assumedUntil)
    }

    private val times = HashMap<BackendServerId, Cold>()

    fun isCold(id: BackendServerId): Boolean = times[id]?.let { out.now < it.end } == true

    /**
     * Records that [server] remains cold for [remaining] and returns whether it has become cold. The figure in an entry
     * falls with each heartbeat; that alone is no change.
     */
    fun record(server: Backend, remaining: Duration): Boolean {
        val known = times[server.id]
        if (remaining <= Duration.ZERO) {
            known?.run { until = minOf(until, out.now) }
            return false
        }
        val wasCold = known != null && out.now < known.end + HEARTBEAT_MARGIN
        val cold = known ?: Cold(out.now, out.now).also { times[server.id] = it }
        cold.until = out.now + remaining.coerceAtMost(MAX_COLD)
        if (wasCold) return false
        out.log(
            LogEvent.SERVER_COLD,
            "server" to server.id,
            "service" to server.service,
            "cold_ms" to remaining.inWholeMilliseconds,
        )
        return true
    }

    /**
     * Counts [servers] as cold until their next entries can have been read: the data centre returns from an evacuation,
     * and what their entries said before is no longer true.
     */
    fun assumeCold(servers: List<Backend>) {
        if (servers.isEmpty()) return
        for (server in servers) {
            times.getOrPut(server.id) { Cold(out.now, out.now) }.assumedUntil = out.now + ASSUMED_TIME
        }
        out.log(
            LogEvent.SERVERS_COLD_ASSUMED,
            "servers" to servers.size,
            "data_centre" to servers.first().dataCentre,
            "for_ms" to ASSUMED_TIME.inWholeMilliseconds,
        )
    }

    /** Forgets the servers that are not among [ids]. */
    fun retain(ids: Set<BackendServerId>) {
        times.keys.retainAll(ids)
    }

    private companion object {
        /** Heartbeats are 1.2 s apart and read up to 0.5 s late, so the time that one states may end before the next. */
        val HEARTBEAT_MARGIN = 2.seconds

        /** A heartbeat, its read, and the time until a host that does not read the store has got it. */
        val ASSUMED_TIME = 2_500.milliseconds

        /** Bounds the effect of one malformed figure. */
        val MAX_COLD = 10.minutes
    }
}
