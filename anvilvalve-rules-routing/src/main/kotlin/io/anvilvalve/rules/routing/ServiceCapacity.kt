package io.anvilvalve.rules.routing

import io.anvilvalve.api.routing.Backend
import io.anvilvalve.api.routing.EngineSpec
import io.anvilvalve.api.routing.ServiceSpec
import io.anvilvalve.api.routing.Stage
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Capacity of all usable servers of a service together, for waits and limits. */
internal class ServiceCapacity(
    private val work: RemainingWork,
    private val usable: UsableServers,
    private val rules: ServerRules,
) {
    /**
     * Expected time until a new request can be placed behind [queued] tokens, or behind that many calls for a plain
     * service. Only the servers that a request for [need] may use are taken into account.
     */
    fun expectedWait(spec: ServiceSpec, queued: Int, need: PlacementNeed? = null): Duration {
        val engine = spec.engine
        val servers = if (engine == null) {
            usable.of(spec.id, null, emptySet(), need) { !it.limitsRate }
        } else {
            usable.decodeEngines(spec.id, emptySet(), need) { !it.limitsRate }
        }
        val perSecond = servers.sumOf {
            val units = if (engine == null) it.slots else usableMemory(engine)
            minOf(units / unitSeconds(it), rules.rateLimit(it).coerceAtLeast(MIN_RATE))
        }
        return if (perSecond <= 0) rules.waitForAllowed(spec) else (queued / perSecond).seconds
    }

    /** Mean time of a call, or of an answer of an engine, at the servers that can be used; each counts by its speed. */
    fun meanServiceTime(spec: ServiceSpec): Duration = mean(
        if (spec.engine == null) usable.of(spec.id, null, emptySet()) else usable.decodeEngines(spec.id, emptySet()),
        if (spec.engine == null) Placement.PLAIN_SERVICE_TIME else Placement.DECODE_SERVICE_TIME,
    )

    /** Mean time in which an engine processes 1,000 prompt tokens. */
    fun meanPrefillTime(spec: ServiceSpec): Duration {
        if (spec.engine == null) return Duration.ZERO
        return mean(
            usable.of(spec.id, Stage.PREFILL, emptySet()),
            Placement.PREFILL_SERVICE_TIME * DECODE_PREFILL_FACTOR,
        )
    }

    /** Time until a prefill engine has processed the prompts that it has now. */
    fun prefillBacklog(spec: ServiceSpec): Duration {
        if (spec.engine == null) return Duration.ZERO
        val backlog = usable.of(spec.id, Stage.PREFILL, emptySet()).minOfOrNull {
            work.promptMillis(it, 0).toLong().milliseconds
        }
        return minOf(backlog ?: Duration.ZERO, Placement.MAX_PREFILL_BACKLOG)
    }

    private fun mean(servers: List<Backend>, default: Duration): Duration {
        if (servers.isEmpty()) return default
        val perSecond = servers.sumOf { 1 / unitSeconds(it) }
        return (servers.size / perSecond).seconds
    }

    private fun unitSeconds(server: Backend) =
        (work.unitMillis(server) / MILLIS_PER_SECOND).coerceAtLeast(MIN_UNIT_SECONDS)

    companion object {
        /** Share of the memory that is reserved. The rest covers partly filled blocks and load reports in transit. */
        private const val USED_MEMORY_SHARE = 0.96

        /** Total memory in tokens that requests at an engine may reserve. */
        fun usableMemory(engine: EngineSpec): Int = (engine.memoryTokens * USED_MEMORY_SHARE).toInt()

        /** A decode engine takes this many times as long for a prompt. */
        private const val DECODE_PREFILL_FACTOR = 2

        /** Shortest time of a unit of work that [expectedWait] counts with. */
        private const val MIN_UNIT_SECONDS = 0.001

        /** Calls a second to cold servers if this host may select none. */
        private const val MIN_RATE = 0.001
        private const val MILLIS_PER_SECOND = 1_000.0
    }
}
