package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.DataCentreId
import io.anvilvalve.api.routing.Backend
import io.anvilvalve.api.routing.EngineSpec
import io.anvilvalve.api.routing.ServiceId
import io.anvilvalve.api.routing.Stage

/** Expected finish of a request at a server in milliseconds, with surcharges; the server with the lowest score is best. */
internal class PlacementScores(
    private val dataCentre: DataCentreId,
    private val directory: Directory,
    private val loads: ServerLoads,
    private val reports: ServerReports,
    private val work: RemainingWork,
    private val distances: Distances,
    private val health: (Backend) -> ServerHealth,
) {
    /**
     * Expected finish, and a part of it that grows with the load: loads are known with a delay, so that a server that
     * seems to have a free slot may have none.
     */
    fun plain(server: Backend, baseline: Double, need: PlacementNeed?): Double {
        val requests = work.requests(server)
        val unit = work.unitMillis(server)
        val uncertain = UNCERTAIN_SHARE * (requests + 1) / server.slots.coerceAtLeast(1) * (unit + UNCERTAIN_MILLIS)
        val finish = unit * (need?.cost ?: 1.0) + work.queueMillis(server, requests, unit) + uncertain
        val excess = (health(server).failureShare - baseline).coerceAtLeast(0.0)
        return (finish + distanceMillis(server, need)) * (1 + FAILURE_WEIGHT * excess) * reachabilityFactor(server)
    }

    /** Prefers fast engines, because they free memory sooner. */
    fun decode(
        server: Backend,
        engine: EngineSpec,
        tokens: Int,
        prefillDataCentres: Set<DataCentreId>,
        need: PlacementNeed?,
    ): Double {
        val answer = work.answerMillis(server, usedMemory(server, engine, tokens), need?.cost ?: 1.0)
        val failures = 1 + FAILURE_WEIGHT * health(server).failureShare
        val transfer = if (server.dataCentre in prefillDataCentres) 1.0 else REMOTE_TRANSFER_FACTOR
        val ownPrompt = ownPromptMillis(server, prefillDataCentres, need)
        return (answer * transfer + ownPrompt + distanceMillis(server, need)) * failures * reachabilityFactor(server)
    }

    /** Time in which an engine without prefill engines in its region processes the prompt itself. */
    private fun ownPromptMillis(server: Backend, prefillDataCentres: Set<DataCentreId>, need: PlacementNeed?): Double {
        val tokens = need?.promptTokens ?: 0
        if (tokens == 0 || prefillDataCentres.isEmpty()) return 0.0
        val hasPrefill = prefillDataCentres.any { distances.level(it, server.dataCentre) != Distances.Level.FAR }
        return if (hasPrefill) 0.0 else tokens * OWN_PROMPT_MILLIS_PER_TOKEN
    }

    /** Data centres in which [service] has prefill engines. */
    fun prefillDataCentres(service: ServiceId): Set<DataCentreId> {
        val dataCentres = HashSet<DataCentreId>()
        for (server in directory.all) {
            if (server.service == service && server.stage == Stage.PREFILL) dataCentres += server.dataCentre
        }
        return dataCentres
    }

    /** Price of the way from the host that sends a request for [need] to [server]. */
    fun distanceMillis(server: Backend, need: PlacementNeed?): Double {
        val from = need?.dataCentre ?: dataCentre
        return when (server.stage) {
            null -> distances.callMillis(from, server.dataCentre)
            else -> distances.streamMillis(from, server.dataCentre)
        }
    }

    /** Score of the prefill engine [server] for [tokens] of a prompt that [decode] needs. */
    fun prefill(server: Backend, decode: Backend, tokens: Int): Double {
        val transfer = distances.transferMillis(server.dataCentre, decode.dataCentre)
        return (work.promptMillis(server, tokens) + transfer) * reachabilityFactor(server)
    }

    /** Share of the usable memory of [server] that is reserved, with [tokens] more. */
    fun usedMemory(server: Backend, engine: EngineSpec, tokens: Int) =
        (loads.tokens(server.id) + tokens).toDouble() / ServiceCapacity.usableMemory(engine)

    private fun reachabilityFactor(server: Backend) =
        if (reports.unreachableCount(server.id) > 0) UNREACHABLE_FACTOR else 1.0

    private companion object {
        const val FAILURE_WEIGHT = 10.0

        /** A server that a peer cannot reach is used only if the others are much busier. */
        const val UNREACHABLE_FACTOR = 3.0

        /** For decode engines in a data centre without prefill engines, because of the transfers. */
        const val REMOTE_TRANSFER_FACTOR = 1.25

        /** Decode engines process prompts at half the speed of prefill engines. */
        const val OWN_PROMPT_MILLIS_PER_TOKEN = 0.04

        /** Share of the time of a call that is expected as its wait at a server that seems to have all slots taken. */
        const val UNCERTAIN_SHARE = 0.5

        /** Gives the load a weight also where calls take a few milliseconds only. */
        const val UNCERTAIN_MILLIS = 20.0
    }
}
