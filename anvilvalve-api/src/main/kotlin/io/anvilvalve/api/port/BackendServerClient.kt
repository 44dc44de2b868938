package io.anvilvalve.api.port

import arrow.core.Either
import io.anvilvalve.api.release.BackendServer
import kotlinx.coroutines.flow.Flow

/** Client for the published protocol of backend servers. */
interface BackendServerClient {
    /** Runs the prompt and keeps its KV cache for export until the handle expires. */
    suspend fun prefill(server: BackendServer, request: EngineRequest): Either<BackendFault, KvHandle>

    /**
     * Imports the KV cache named by [kv] and streams the tokens; without [kv] the engine computes the prompt itself.
     *
     * The flow ends with a chunk that has a finish reason, or with a left side; a flow without either was interrupted.
     */
    fun decode(server: BackendServer, request: EngineRequest, kv: KvHandle?): Flow<Either<BackendFault, TokenChunk>>

    /** Cancels an attempt and frees its memory; idempotent, and remembered if it arrives before the attempt. */
    suspend fun cancel(server: BackendServer, engineId: String): Either<BackendFault, Unit>

    /** Reads the last load report. */
    suspend fun load(server: BackendServer): Either<BackendFault, LoadReport>

    /** Reads cache events after sequence number [after]. */
    suspend fun cacheEvents(server: BackendServer, after: Long): Either<BackendFault, List<CacheEvent>>

    /** Orders the engine to change its state; status 409 means that the fencing token is outdated. */
    suspend fun order(server: BackendServer, order: EngineOrder): Either<BackendFault, Unit>

    /** Reads the current state of the engine. */
    suspend fun state(server: BackendServer): Either<BackendFault, EngineTarget>

    /** Sends one call to a plain service, without retries. */
    suspend fun call(server: BackendServer, call: ServiceCall): Either<BackendFault, ServiceReply>
}
