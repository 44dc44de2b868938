package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.id.DataCentreId
import io.anvilvalve.api.routing.Backend
import io.anvilvalve.api.routing.EngineSpec
import io.anvilvalve.api.routing.ServiceId
import io.anvilvalve.api.routing.ServiceSpec
import io.anvilvalve.api.routing.Stage
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/**
 * Chooses backend servers by the requests that all hosts have at them.
 *
 * Plain services get the call at the server with the least expected time. A model request gets a place for its whole
 * memory at a decode engine first, and then the prefill engine that will have read its prompt first.
 */
internal class Placement(
    private val dataCentre: DataCentreId,
    private val out: Outbox,
    private val directory: Directory,
    private val loads: ServerLoads,
    private val reports: Reports,
) {
    /** What the hosts report about backend servers. */
    interface Reports {
        /** Whether an engine changes its stage and takes no work. */
        fun isChanging(server: BackendServerId): Boolean

        /** Whether a peer could not connect to a server lately; this host may reach it all the same. */
        fun isUnreachableForPeer(server: BackendServerId): Boolean
    }

    private val health = HashMap<BackendServerId, ServerHealth>()

    fun health(server: Backend): ServerHealth = health.getOrPut(server.id) {
        ServerHealth(
            if (server.stage ==
                null
            ) {
                PLAIN_SERVICE_TIME
            } else if (server.stage == Stage.PREFILL) {
                PREFILL_SERVICE_TIME
            } else {
                DECODE_SERVICE_TIME
            },
        )
    }

    /** A server of a plain service that will start the call soon, or null when all are busy. */
    fun plain(service: ServiceId, tried: Set<BackendServerId>): Backend? {
        val usable = usable(service, null, tried)
        val medianFailures = medianFailureShare(usable)
        return usable
            .filter { loads.requests(it.id) < it.slots + MAX_WAITING_AT_SERVER }
            .minByOrNull { plainScore(it, medianFailures) }
    }

    /** A decode engine with room for [tokens], or null when none has. */
    fun decode(service: ServiceId, engine: EngineSpec, tokens: Int, tried: Set<BackendServerId>): Backend? =
        decodeEngines(service, tried)
            .filter { loads.requests(it.id) < engine.slots && loads.tokens(it.id) + tokens <= usableMemory(engine) }
            .minByOrNull { decodeScore(it, engine, tokens) }

    /** The prefill engine that will have read [tokens] first, near [decode] if possible; null when there is none. */
    fun prefill(service: ServiceId, tokens: Int, decode: Backend, tried: Set<BackendServerId>): Backend? =
        usable(service, Stage.PREFILL, tried).minByOrNull { server ->
            val ready = (loads.tokens(server.id) + tokens) * serviceMillis(server) / TOKENS_PER_UNIT
            val withTransfer = if (server.dataCentre == decode.dataCentre) ready else ready + REMOTE_TRANSFER_MILLIS
            withTransfer * reachabilityFactor(server)
        }

    /** Expected time until [server] has read [tokens] more. */
    fun prefillTime(server: Backend, tokens: Int): Duration =
        ((loads.tokens(server.id) + tokens) * serviceMillis(server) / TOKENS_PER_UNIT).toLong().milliseconds

    /** Expected time until [tokens] more can be placed when [queued] tokens wait before them. */
    fun expectedWait(spec: ServiceSpec, queued: Int): Duration {
        val engine = spec.engine
        if (engine == null) {
            val servers = usable(spec.id, null, emptySet())
            val slots = servers.sumOf { it.slots }
            if (slots == 0) return NEVER
            return servers.maxOf { health(it).serviceTime } * queued / slots
        }
        val servers = decodeEngines(spec.id, emptySet())
        if (servers.isEmpty()) return NEVER
        val perSecond = servers.sumOf { usableMemory(engine) / requestSeconds(it) }
        return (queued / perSecond * MILLIS_PER_SECOND).toLong().milliseconds
    }

    /** Whether any server of the service may be used at all. */
    fun hasServers(spec: ServiceSpec): Boolean = if (spec.engine ==
        null
    ) {
        usable(spec.id, null, emptySet()).isNotEmpty()
    } else {
        decodeEngines(spec.id, emptySet()).isNotEmpty()
    }

    /** Version and age of what placements go by, for the log. */
    fun stateFields(): Array<Pair<String, Any?>> = arrayOf(
        "directory" to directory.offset,
        "directory_age_ms" to directory.age?.inWholeMilliseconds,
        "loads_age_ms" to loads.oldestReportAge?.inWholeMilliseconds,
    )

    /** Servers to which this host could not connect lately, for its peers. */
    fun unreachable(): List<BackendServerId> = health.filterValues { it.isUnreachable(out.now) }.keys.toList()

    /** Tokens that the requests at an engine may need together. */
    fun usableMemory(engine: EngineSpec): Int = (engine.memoryTokens * USED_MEMORY_SHARE).toInt()

    fun retainKnown() = health.keys.retainAll(directory.all.mapTo(HashSet()) { it.id })

    private fun decodeEngines(service: ServiceId, tried: Set<BackendServerId>) =
        usable(service, Stage.DECODE, tried).ifEmpty { usable(service, null, tried) }

    private fun usable(service: ServiceId, stage: Stage?, tried: Set<BackendServerId>): List<Backend> =
        directory.of(service).filter {
            it.stage == stage && !it.leaving && it.id !in tried && !health(it).isEjected(out.now) &&
                !reports.isChanging(it.id)
        }

    private fun plainScore(server: Backend, medianFailures: Double): Double {
        val utilisation = (loads.requests(server.id) + 1.0) / server.slots
        val excess = (health(server).failureShare - medianFailures).coerceAtLeast(0.0)
        return utilisation * (SERVICE_TIME_FLOOR_MILLIS + serviceMillis(server)) * (1 + FAILURE_WEIGHT * excess) *
            distanceFactor(server)
    }

    /** Fast engines first: they free memory sooner, and the pace within one engine falls only slowly with its load. */
    private fun decodeScore(server: Backend, engine: EngineSpec, tokens: Int): Double {
        val used = (loads.tokens(server.id) + tokens).toDouble() / usableMemory(engine)
        return (IDLE_ENGINE_LOAD + used) * serviceMillis(server) * (1 + FAILURE_WEIGHT * health(server).failureShare) *
            transferFactor(server)
    }

    /** Engines beside prefill engines are preferred, because moves between data centres are dear. */
    private fun transferFactor(server: Backend): Double {
        val hasLocalPrefill =
            directory.of(server.service).any { it.stage == Stage.PREFILL && it.dataCentre == server.dataCentre }
        return reachabilityFactor(server) * if (hasLocalPrefill) 1.0 else REMOTE_TRANSFER_FACTOR
    }

    private fun requestSeconds(server: Backend) =
        health(server).serviceTime.toDouble(DurationUnit.SECONDS).coerceAtLeast(MIN_REQUEST_SECONDS)

    private fun serviceMillis(server: Backend) = health(server).serviceTime.toDouble(DurationUnit.MILLISECONDS)

    private fun distanceFactor(server: Backend) =
        reachabilityFactor(server) * if (server.dataCentre == dataCentre) 1.0 else REMOTE_CALL_FACTOR

    private fun reachabilityFactor(server: Backend) =
        if (reports.isUnreachableForPeer(server.id)) UNREACHABLE_FACTOR else 1.0

    /** The share of failures that is usual for a service: many calls may fail at every server. */
    private fun medianFailureShare(servers: List<Backend>): Double =
        servers.map { health(it).failureShare }.sorted().let { if (it.isEmpty()) 0.0 else it[(it.size - 1) / 2] }

    companion object {
        /** Longer than any caller waits. */
        val NEVER: Duration = 1.0e9.milliseconds

        /** Calls that may wait at a server beyond its slots; more of them wait at the hosts, which can move them. */
        private const val MAX_WAITING_AT_SERVER = 1

        /** Part of the memory that is used; the rest covers blocks that are begun and reports under way. */
        private const val USED_MEMORY_SHARE = 0.96
        private const val FAILURE_WEIGHT = 10.0

        /** Calls and transfers within the data centre are shorter and cost nothing. */
        private const val REMOTE_CALL_FACTOR = 1.03

        /** A server that a peer cannot reach is used when the others are much busier. */
        private const val UNREACHABLE_FACTOR = 3.0
        private const val REMOTE_TRANSFER_FACTOR = 1.25

        /** Wait for a prefill engine in the data centre that saves a move between data centres. */
        private const val REMOTE_TRANSFER_MILLIS = 250.0
        private const val TOKENS_PER_UNIT = 1_000.0
        private const val SERVICE_TIME_FLOOR_MILLIS = 20.0
        private const val IDLE_ENGINE_LOAD = 0.6
        private const val MIN_REQUEST_SECONDS = 0.05
        private const val MILLIS_PER_SECOND = 1_000.0

        /** First estimates, replaced by what is observed: a call, a thousand prompt tokens, an answer. */
        private val PLAIN_SERVICE_TIME = 70.milliseconds
        private val PREFILL_SERVICE_TIME = 20.milliseconds
        private val DECODE_SERVICE_TIME = 3_500.milliseconds
    }
}
