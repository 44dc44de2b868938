package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.id.DataCentreId
import io.anvilvalve.api.routing.Backend
import io.anvilvalve.api.routing.EngineSpec
import io.anvilvalve.api.routing.ServiceId
import io.anvilvalve.api.routing.ServiceSpec
import io.anvilvalve.api.routing.Stage
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.DurationUnit

/**
 * Selects the backend servers that are expected to finish a request first, by the work that all hosts have placed on
 * them.
 *
 * For a model request, memory is first reserved at a decode engine; then the prefill engine is selected. A choice visits
 * every server once.
 */
internal class Placement(
    val dataCentre: DataCentreId,
    private val out: Outbox,
    private val directory: Directory,
    private val loads: ServerLoads,
    private val reports: ServerReports,
    private val random: Random,
    rules: List<ServerRule> = emptyList(),
    private val turnaround: Turnaround = Turnaround(),
    private val slowness: ServerSlowness = ServerSlowness(out, loads),
    regions: RegionDirectory = RegionDirectory { null },
) {
    /**
     * Whether the loads of all hosts are known. Hosts that know them only in part select the better of two random
     * servers, because they would otherwise all select the same one.
     */
    var knowsLoads: Boolean = true

    /** The rules about servers that get no calls. */
    val rules = ServerRules(directory, rules)
    private val health = HashMap<BackendServerId, ServerHealth>()
    private val work = RemainingWork(out, loads, slowness, ::health)
    private val distances = Distances(regions)
    private val baselines = FailureBaselines(out, directory, ::health)
    private val usable = UsableServers(out, directory, reports, this.rules, ::health)
    private val scores = PlacementScores(dataCentre, directory, loads, reports, work, distances, ::health)
    val capacity = ServiceCapacity(work, usable, this.rules)

    fun health(server: Backend): ServerHealth = health.getOrPut(server.id) {
        ServerHealth(
            when (server.stage) {
                null -> PLAIN_SERVICE_TIME
                Stage.PREFILL -> PREFILL_SERVICE_TIME
                Stage.DECODE -> DECODE_SERVICE_TIME
            },
        )
    }

    /** Selects the servers for [need]; null if none has capacity for it. */
    fun select(need: PlacementNeed): SelectedServers? {
        val service = need.service
        val engine = service.engine
            ?: return plain(service.id, need.avoided, need)?.let { SelectedServers(it.also(rules::selected)) }
        val decode = decode(service.id, engine, need.memoryTokens, need.avoided, need) ?: return null
        rules.selected(decode)
        if (need.promptTokens == 0) return SelectedServers(decode)
        val prefill = prefill(service.id, need.promptTokens, decode, need.avoided, need)
        prefill?.let(rules::selected)
        return SelectedServers(decode, prefill, prefill?.let { loads.tokens(it.id) } ?: 0)
    }

    /** A server of a plain service that can start the call soon, or null if all servers are busy. */
    fun plain(service: ServiceId, tried: Set<BackendServerId>, need: PlacementNeed? = null): Backend? {
        val baseline = baselines.of(service)
        return best(
            service,
            { usable.isUsable(it, null, tried, need) && work.requests(it) < it.slots + waitingCalls(it) },
            { scores.plain(it, baseline, need) },
        )
    }

    /** A decode engine with free memory for [tokens], or null if none has enough. */
    fun decode(
        service: ServiceId,
        engine: EngineSpec,
        tokens: Int,
        tried: Set<BackendServerId>,
        need: PlacementNeed? = null,
    ): Backend? {
        val stage = usable.decodeStage(service, tried, need)
        val prefillDataCentres = scores.prefillDataCentres(service)
        return best(
            service,
            { usable.isUsable(it, stage, tried, need) && hasMemory(it, engine, tokens) },
            { scores.decode(it, engine, tokens, prefillDataCentres, need) },
        )
    }

    /**
     * The prefill engine expected to finish [tokens] first, taking the transfer to [decode] into account, or null if
     * there is none in the region of [decode] or its backlog is too long.
     *
     * Prompt memory does not move between regions: the transfer takes longer than the decode engine needs for the
     * prompt, and it takes the link from all other traffic.
     */
    fun prefill(
        service: ServiceId,
        tokens: Int,
        decode: Backend,
        tried: Set<BackendServerId>,
        need: PlacementNeed? = null,
    ): Backend? = best(
        service,
        {
            usable.isUsable(it, Stage.PREFILL, tried, need) &&
                distances.level(it.dataCentre, decode.dataCentre) != Distances.Level.FAR
        },
        { scores.prefill(it, decode, tokens) },
    )?.takeIf { prefillTime(it, tokens) <= MAX_PREFILL_BACKLOG }

    /** Expected time until [server] has processed [tokens] more prompt tokens. */
    fun prefillTime(server: Backend, tokens: Int): Duration = work.promptMillis(server, tokens).toLong().milliseconds

    /** Log fields with the version and age of the state that placements are based on. */
    fun stateFields(): Array<Pair<String, Any?>> = arrayOf(
        "directory" to directory.position.offset,
        "directory_age_ms" to directory.age?.inWholeMilliseconds,
        "loads_age_ms" to loads.oldestReportAge?.inWholeMilliseconds,
    )

    /** Expected finish of a call to [server] that the loads contain already. */
    fun expectedFinish(server: Backend, need: PlacementNeed): ExpectedFinish {
        val unit = work.unitMillis(server)
        val engine = need.service.engine
        return ExpectedFinish(
            queueMillis = if (engine == null) work.queueMillis(server, work.requests(server) - 1, unit) else 0.0,
            serviceMillis = when (engine) {
                null -> unit * need.cost
                else -> work.answerMillis(server, scores.usedMemory(server, engine, tokens = 0), need.cost)
            },
            distanceMillis = scores.distanceMillis(server, need),
            isFar = distances.level(need.dataCentre, server.dataCentre) == Distances.Level.FAR,
            slowness = slowness.factor(server.id),
            slownessAge = slowness.age(server.id),
        )
    }

    /** Servers to which this host recently failed to connect, for reporting to peers. */
    fun unreachable(): List<BackendServerId> = health.filterValues { it.isUnreachable(out.now) }.keys.toList()

    fun retainKnownServers() {
        val known = directory.all.mapTo(HashSet()) { it.id }
        health.keys.retainAll(known)
        slowness.retain(known)
    }

    /**
     * The server of [service] with the lowest [score] among those that satisfy [fits], or among two random ones of them
     * if the loads are known only in part. Servers whose rate of calls is limited are used only if there are no others.
     */
    private inline fun best(service: ServiceId, fits: (Backend) -> Boolean, score: (Backend) -> Double): Backend? {
        var best: Backend? = null
        var bestScore = Double.MAX_VALUE
        var other: Backend? = null
        var fitting = 0
        var areAllLimited = true
        for (server in directory.all) {
            if (server.service != service || !fits(server)) continue
            val isLimited = rules.isRateLimited(server)
            if (isLimited && !areAllLimited) continue
            if (!isLimited && areAllLimited) {
                areAllLimited = false
                best = null
                bestScore = Double.MAX_VALUE
                other = null
                fitting = 0
            }
            fitting++
            if (knowsLoads) {
                val value = score(server)
                if (best == null || value < bestScore) {
                    best = server
                    bestScore = value
                }
            } else {
                // Each server is kept with the same probability, without a list of them.
                val place = if (fitting <= RANDOM_CANDIDATES) fitting - 1 else random.nextInt(fitting)
                if (place == 0) {
                    best = server
                } else if (place == 1) {
                    other = server
                }
            }
        }
        val second = other ?: return best
        return best?.let { if (score(second) < score(it)) second else it }
    }

    private fun hasMemory(server: Backend, engine: EngineSpec, tokens: Int) =
        work.requests(server) < engine.slots && loads.tokens(server.id) + tokens <= ServiceCapacity.usableMemory(engine)

    /** A server that has recently refused a call has a shorter queue than assumed. */
    private fun waitingCalls(server: Backend): Int {
        val health = health(server)
        if (health.rejectedRecently(out.now)) return 1
        return turnaround.waitingCalls(server, work.unitMillis(server).milliseconds)
    }

    companion object {
        /** Expected wait if no server can be used; longer than any caller waits. */
        val NEVER: Duration = 1.0e9.milliseconds

        /** With a longer backlog at the prefill engines, the decode engine processes the prompt, at half the speed. */
        val MAX_PREFILL_BACKLOG = 450.milliseconds

        private const val RANDOM_CANDIDATES = 2

        /**
         * Initial estimates of the time for a call, for 1,000 prompt tokens and for an answer. Measured times replace
         * them.
         */
        val PLAIN_SERVICE_TIME = 70.milliseconds
        val PREFILL_SERVICE_TIME = 20.milliseconds
        val DECODE_SERVICE_TIME = 3_500.milliseconds
    }
}
