package io.anvilvalve.standins

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.port.BackendFault
import io.anvilvalve.api.port.BackendServerClient
import io.anvilvalve.api.port.CacheEvent
import io.anvilvalve.api.port.EngineOrder
import io.anvilvalve.api.port.EngineRequest
import io.anvilvalve.api.port.EngineTarget
import io.anvilvalve.api.port.KvHandle
import io.anvilvalve.api.port.LoadReport
import io.anvilvalve.api.port.ServiceCall
import io.anvilvalve.api.port.ServiceReply
import io.anvilvalve.api.port.TokenChunk
import io.anvilvalve.api.release.BackendServer
import io.anvilvalve.api.result.Executed
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flowOf

/** Client for the stand-ins of the same process; calls to a backend server without a stand-in fail unexecuted. */
class FakeBackendServers(
    val engines: Map<BackendServerId, FakeEngine> = emptyMap(),
    val services: Map<BackendServerId, FakePlainService> = emptyMap(),
) : BackendServerClient {
    override suspend fun prefill(server: BackendServer, request: EngineRequest): Either<BackendFault, KvHandle> =
        engine(server).flatMap { it.prefill(request) }

    override fun decode(
        server: BackendServer,
        request: EngineRequest,
        kv: KvHandle?,
    ): Flow<Either<BackendFault, TokenChunk>> = engine(server).fold({ flowOf(it.left()) }, { it.decode(request, kv) })

    override suspend fun cancel(server: BackendServer, engineId: String): Either<BackendFault, Unit> =
        engine(server).flatMap { it.cancel(engineId) }

    override suspend fun load(server: BackendServer): Either<BackendFault, LoadReport> =
        services[server.id]?.load()?.right() ?: engine(server).flatMap { it.load() }

    override suspend fun cacheEvents(server: BackendServer, after: Long): Either<BackendFault, List<CacheEvent>> =
        engine(server).flatMap { it.cacheEvents(after) }

    override suspend fun order(server: BackendServer, order: EngineOrder): Either<BackendFault, Unit> =
        engine(server).flatMap { it.order(order) }

    override suspend fun state(server: BackendServer): Either<BackendFault, EngineTarget> =
        engine(server).flatMap { it.state() }

    override suspend fun call(server: BackendServer, call: ServiceCall): Either<BackendFault, ServiceReply> =
        services[server.id]?.call(call) ?: unreachable(server)

    private fun engine(server: BackendServer): Either<BackendFault, FakeEngine> =
        engines[server.id]?.right() ?: unreachable(server)

    private fun unreachable(server: BackendServer): Either<BackendFault, Nothing> =
        BackendFault(Executed.NO, "no stand-in is ${server.id}").left()
}
