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
import kotlinx.coroutines.flow.Flow
import kotlinx.serialization.KSerializer
import okhttp3.HttpUrl
import okhttp3.HttpUrl.Companion.toHttpUrl
import okhttp3.MediaType.Companion.toMediaTypeOrNull
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import kotlin.time.Duration
import kotlin.time.toJavaDuration

/** Calls backend servers over HTTP; every call is sent at most once. */
class OkHttpBackendServerClient(client: OkHttpClient, timeouts: EngineTimeouts = EngineTimeouts()) :
    BackendServerClient {
    private val prefillClient = client.withCallTimeout(timeouts.prefill)
    private val controlClient = client.withCallTimeout(timeouts.control)
    private val serviceClient = client.withCallTimeout(timeouts.service)
    private val streamClient = client.newBuilder().readTimeout(timeouts.tokenGap.toJavaDuration()).build()

    override suspend fun prefill(server: BackendServer, request: EngineRequest): Either<BackendFault, KvHandle> =
        prefillClient.json(server.completion(request, CompletionBody.prefill(request)), PrefillReply.serializer())
            .map { it.kv }

    /** Blocks the collector's thread while waiting for tokens, which avoids a thread switch per token. */
    override fun decode(
        server: BackendServer,
        request: EngineRequest,
        kv: KvHandle?,
    ): Flow<Either<BackendFault, TokenChunk>> =
        tokenFlow(streamClient, server.completion(request, CompletionBody.decode(request, kv)))

    override suspend fun cancel(server: BackendServer, engineId: String): Either<BackendFault, Unit> {
        val url = server.url { addPathSegments("v1/requests").addPathSegment(engineId).addPathSegment("cancel") }
        return controlClient.exchangeOk(Request.Builder().url(url).post(jsonBody("{}")).build()).map { }
    }

    override suspend fun load(server: BackendServer): Either<BackendFault, LoadReport> =
        controlClient.json(server.getRequest("v1/load"), LoadReport.serializer())

    override suspend fun cacheEvents(server: BackendServer, after: Long): Either<BackendFault, List<CacheEvent>> {
        val url = server.url { addPathSegments("v1/cache/events").addQueryParameter("after", after.toString()) }
        return controlClient.json(Request.Builder().url(url).build(), CacheReply.serializer()).map { it.events }
    }

    override suspend fun order(server: BackendServer, order: EngineOrder): Either<BackendFault, Unit> {
        val body = jsonBody(wireJson.encodeToString(EngineOrder.serializer(), order))
        val url = server.url { addPathSegments("v1/orders") }
        return controlClient.exchangeOk(Request.Builder().url(url).post(body).build()).map { }
    }

    override suspend fun state(server: BackendServer): Either<BackendFault, EngineTarget> =
        controlClient.json(server.getRequest("v1/state"), EngineTarget.serializer())

    override suspend fun call(server: BackendServer, call: ServiceCall): Either<BackendFault, ServiceReply> =
        Either.catch { server.serviceRequest(call) }
            .mapLeft { BackendFault(Executed.NO, "call cannot be sent: ${it.message}") }
            .flatMap { serviceClient.exchange(it, MAX_SERVICE_BYTES) }
            .map { ServiceReply(it.status, it.contentType ?: "application/octet-stream", it.body) }

    private fun BackendServer.serviceRequest(call: ServiceCall): Request {
        require(call.path.startsWith("/")) { "path must start with /" }
        val needsBody = call.method in BODY_METHODS
        val body = if (needsBody) call.body.toRequestBody(call.contentType?.toMediaTypeOrNull()) else null
        val request = Request.Builder()
            .url("http://$address${call.path}")
            .method(call.method, body)
            .header(REQUEST_ID, call.id.value)
        call.idempotencyKey?.let { request.header("Idempotency-Key", it) }
        return request.build()
    }

    private fun BackendServer.completion(request: EngineRequest, body: CompletionBody): Request = Request.Builder()
        .url(url { addPathSegments("v1/completions") })
        .header(REQUEST_ID, request.engineId)
        .post(jsonBody(wireJson.encodeToString(CompletionBody.serializer(), body)))
        .build()

    private fun BackendServer.getRequest(path: String) = Request.Builder().url(url { addPathSegments(path) }).build()

    private fun BackendServer.url(build: HttpUrl.Builder.() -> Unit): HttpUrl =
        "http://$address".toHttpUrl().newBuilder().apply(build).build()

    /** Performs [request]; a status outside 200 to 299 becomes a fault. */
    private suspend fun OkHttpClient.exchangeOk(request: Request): Either<BackendFault, HttpReply> =
        exchange(request, MAX_CONTROL_BYTES).flatMap {
            if (it.status in SUCCESS_STATUSES) it.right() else statusFault(it.status, it.text).left()
        }

    private suspend fun <T> OkHttpClient.json(request: Request, serializer: KSerializer<T>): Either<BackendFault, T> =
        exchangeOk(request).flatMap { reply ->
            Either.catch { wireJson.decodeFromString(serializer, reply.text) }
                .mapLeft { BackendFault(Executed.UNKNOWN, "malformed answer: ${it.message}", reply.status) }
        }

    private fun OkHttpClient.withCallTimeout(timeout: Duration) = newBuilder()
        .callTimeout(timeout.toJavaDuration())
        .readTimeout(timeout.toJavaDuration())
        .build()

    private companion object {
        const val REQUEST_ID = "X-Request-Id"
        const val MAX_CONTROL_BYTES = 4 * 1024 * 1024
        const val MAX_SERVICE_BYTES = 4 * 1024 * 1024
        val SUCCESS_STATUSES = 200..299
        val BODY_METHODS = setOf("POST", "PUT", "PATCH")
    }
}
