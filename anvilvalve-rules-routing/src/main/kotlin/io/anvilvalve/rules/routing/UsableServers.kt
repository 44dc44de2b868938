package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.routing.Backend
import io.anvilvalve.api.routing.ServiceId
import io.anvilvalve.api.routing.Stage
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Which servers can be used at present, by their entries, their health and the [rules]. */
internal class UsableServers(
    private val out: Outbox,
    private val directory: Directory,
    private val reports: ServerReports,
    private val rules: ServerRules,
    private val health: (Backend) -> ServerHealth,
) {
    /**
     * Servers whose capacity counts for the expected wait. A server that has just refused a call for lack of capacity
     * counts, because it gets calls again before a queued request would be refused.
     */
    fun of(
        service: ServiceId,
        stage: Stage?,
        tried: Set<BackendServerId>,
        need: PlacementNeed? = null,
        applies: (ServerRule) -> Boolean = { true },
    ): List<Backend> = directory.of(service).filter {
        isUsable(it, stage, tried, need, applies, out.now + SHORT_EJECTION)
    }

    /** Whether [server] can get a call for [need] at the time [at]. */
    fun isUsable(
        server: Backend,
        stage: Stage?,
        tried: Set<BackendServerId>,
        need: PlacementNeed?,
        applies: (ServerRule) -> Boolean = { true },
        at: Duration = out.now,
    ) = server.stage == stage && !server.leaving && server.id !in tried && !health(server).isEjected(at) &&
        !reports.isChanging(server.id) && !isDown(server) && rules.isAllowed(server, need, applies)

    /** Decode engines of [service], or if there are none, engines without a stage; see [of]. */
    fun decodeEngines(
        service: ServiceId,
        tried: Set<BackendServerId>,
        need: PlacementNeed? = null,
        applies: (ServerRule) -> Boolean = { true },
    ) = of(service, Stage.DECODE, tried, need, applies).ifEmpty { of(service, null, tried, need, applies) }

    /** The stage of the engines that decode: null if no engine of that stage can be used. */
    fun decodeStage(service: ServiceId, tried: Set<BackendServerId>, need: PlacementNeed?): Stage? =
        Stage.DECODE.takeIf { directory.all.any { it.service == service && isUsable(it, Stage.DECODE, tried, need) } }

    /** Whether several hosts cannot connect to the server and none has had a success there. */
    private fun isDown(server: Backend): Boolean {
        if (reports.unreachableCount(server.id) < MIN_UNREACHABLE_REPORTS) return false
        return health(server).succeededAt?.let { out.now - it > SUCCESS_VALIDITY } != false
    }

    private companion object {
        /** A host that is cut off from servers must not take them from the other hosts. */
        const val MIN_UNREACHABLE_REPORTS = 2

        /** A success that is older says nothing about a server that hosts cannot connect to. */
        val SUCCESS_VALIDITY = 1_000.milliseconds

        /** Longer than the ejection of a server that refused a call, and shorter than that of one that failed. */
        val SHORT_EJECTION = 150.milliseconds
    }
}
