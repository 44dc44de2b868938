package io.anvilvalve.api.port

import arrow.core.Either
import io.anvilvalve.api.release.BackendServer
import kotlinx.coroutines.flow.Flow

/** Calls to backend servers by their published protocol. */
interface BackendServerClient {
    /** Runs the prompt and keeps its KV cache for export until the handle expires. */
    suspend fun prefill(server: BackendServer, request: EngineRequest): Either<BackendFault, KvHandle>

    /**
     * Imports the KV cache named by [kv] and streams the tokens; without [kv] the engine computes the prompt itself.
     *
     * The flow ends with a chunk that has a finish reason, or with a left side; a flow that ends without either broke.
     */
    fun decode(server: BackendServer, request: EngineRequest, kv: KvHandle?): Flow<Either<BackendFault, TokenChunk>>

    /** Frees all memory of an attempt; idempotent, and remembered when it overtakes the attempt. */
    suspend fun cancel(server: BackendServer, engineId: String): Either<BackendFault, Unit>

    /** Reads the last load report. */
    suspend fun load(server: BackendServer): Either<BackendFault, LoadReport>

    /** Reads cache events after sequence number [after]. */
    suspend fun cacheEvents(server: BackendServer, after: Long): Either<BackendFault, List<CacheEvent>>

    /** Orders a state; status 409 means that the fencing number is old. */
    suspend fun order(server: BackendServer, order: EngineOrder): Either<BackendFault, Unit>

    /** Reads the state that the engine has. */
    suspend fun state(server: BackendServer): Either<BackendFault, EngineTarget>

    /** Sends one call to a plain service, once. */
    suspend fun call(server: BackendServer, call: ServiceCall): Either<BackendFault, ServiceReply>
}
