package io.anvilvalve.net

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
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
import io.anvilvalve.api.result.bounded
import kotlinx.coroutines.flow.Flow
import kotlinx.serialization.KSerializer
import okhttp3.Headers
import okhttp3.Headers.Companion.headersOf
import java.net.URLEncoder
import kotlin.time.Duration

/** Calls backend servers over HTTP; every call is sent at most once. */
class HttpBackendServerClient(private val timeouts: EngineTimeouts = EngineTimeouts()) : BackendServerClient {
    private val calls = AsyncCalls(SingleUseCalls(timeouts.connect))
    private val streams = SingleUseCalls(timeouts.connect, readTimeout = timeouts.tokenGap)

    override suspend fun prefill(server: BackendServer, request: EngineRequest): Either<BackendFault, KvHandle> = json(
        server.completion(request, CompletionBody.prefill(request)),
        timeouts.prefill,
        PrefillReply.serializer(),
    ).map { it.kv }

    /** Blocks the collector's thread while waiting for tokens, which avoids a thread switch per token. */
    override fun decode(
        server: BackendServer,
        request: EngineRequest,
        kv: KvHandle?,
    ): Flow<Either<BackendFault, TokenChunk>> =
        tokenFlow(streams, server.completion(request, CompletionBody.decode(request, kv)))

    override suspend fun cancel(server: BackendServer, engineId: String): Either<BackendFault, Unit> {
        // The form encoding of a space differs from that of a path.
        val id = URLEncoder.encode(engineId, Charsets.UTF_8).replace("+", "%20")
        return exchangeOk(server.post("/v1/requests/$id/cancel", "{}"), timeouts.control).map { }
    }

    override suspend fun load(server: BackendServer): Either<BackendFault, LoadReport> =
        json(server.get("/v1/load"), timeouts.control, LoadReport.serializer())

    override suspend fun cacheEvents(server: BackendServer, after: Long): Either<BackendFault, List<CacheEvent>> =
        json(server.get("/v1/cache/events?after=$after"), timeouts.control, CacheReply.serializer()).map { it.events }

    override suspend fun order(server: BackendServer, order: EngineOrder): Either<BackendFault, Unit> {
        val body = wireJson.encodeToString(EngineOrder.serializer(), order)
        return exchangeOk(server.post("/v1/orders", body), timeouts.control).map { }
    }

    override suspend fun state(server: BackendServer): Either<BackendFault, EngineTarget> =
        json(server.get("/v1/state"), timeouts.control, EngineTarget.serializer())

    override suspend fun call(server: BackendServer, call: ServiceCall): Either<BackendFault, ServiceReply> =
        Either.catch { server.serviceRequest(call) }
            .mapLeft { BackendFault(Executed.NO, "call cannot be sent: ${it.message.bounded()}") }
            .flatMap { calls.exchange(it, timeouts.service, MAX_SERVICE_BYTES, call.reserve) }
            .map { ServiceReply(it.status, it.contentType ?: "application/octet-stream", it.body) }

    private fun BackendServer.serviceRequest(call: ServiceCall): CallRequest {
        require(call.path.startsWith("/")) { "path must start with /" }
        require(call.path.all { it in '!'..'~' }) { "path has characters that a request cannot carry" }
        val head = Headers.Builder().add(REQUEST_ID, call.id.value)
        call.idempotencyKey?.let { head.add("Idempotency-Key", it) }
        if (call.method !in BODY_METHODS) return CallRequest(address, call.method, call.path, head.build())
        call.contentType?.let { head.add(CONTENT_TYPE, it) }
        return CallRequest(address, call.method, call.path, head.build(), call.body)
    }

    private fun BackendServer.completion(request: EngineRequest, body: CompletionBody): CallRequest =
        post("/v1/completions", wireJson.encodeToString(CompletionBody.serializer(), body), request.engineId)

    private fun BackendServer.get(target: String) = CallRequest(address, "GET", target, headersOf())

    private fun BackendServer.post(target: String, json: String, requestId: String? = null): CallRequest {
        val head = Headers.Builder().add(CONTENT_TYPE, "application/json")
        requestId?.let { head.add(REQUEST_ID, it) }
        return CallRequest(address, "POST", target, head.build(), json.toByteArray())
    }

    /** Performs [request]; a status outside 200 to 299 becomes a fault. */
    private suspend fun exchangeOk(request: CallRequest, timeout: Duration): Either<BackendFault, HttpReply> =
        calls.exchange(request, timeout, MAX_CONTROL_BYTES).flatMap {
            if (it.status in SUCCESS_STATUSES) it.right() else statusFault(it.status, it.text).left()
        }

    private suspend fun <T> json(
        request: CallRequest,
        timeout: Duration,
        serializer: KSerializer<T>,
    ): Either<BackendFault, T> = exchangeOk(request, timeout).flatMap { reply ->
        Either.catch { wireJson.decodeFromString(serializer, reply.text) }
            .mapLeft { BackendFault(Executed.UNKNOWN, "malformed answer: ${it.message.bounded()}", reply.status) }
    }

    private companion object {
        const val REQUEST_ID = "X-Request-Id"
        const val CONTENT_TYPE = "Content-Type"
        const val MAX_CONTROL_BYTES = 4 * 1024 * 1024
        const val MAX_SERVICE_BYTES = 4 * 1024 * 1024
        val SUCCESS_STATUSES = 200..299
        val BODY_METHODS = setOf("POST", "PUT", "PATCH")
    }
}
