package io.anvilvalve.standins.http

import arrow.core.Either
import io.anvilvalve.api.port.BackendFault
import io.anvilvalve.api.port.EngineOrder
import io.anvilvalve.api.port.EngineTarget
import io.anvilvalve.api.port.LoadReport
import io.anvilvalve.api.result.Executed
import io.anvilvalve.standins.EngineAddress
import io.anvilvalve.standins.FakeEngine
import io.javalin.http.Context
import kotlinx.serialization.KSerializer
import kotlinx.serialization.builtins.serializer
import java.util.UUID
import kotlin.time.DurationUnit

/** Serves [engine] over the engine protocol until the returned server is closed, and sets [FakeEngine.address]. */
fun serveEngine(engine: FakeEngine, port: Int = 0): StandinServer {
    val routes = EngineRoutes(engine)
    val server = StandinServer(port) { server ->
        post("/v1/completions") { server.handleAsync(it, routes::complete) }
        post("/v1/requests/{id}/cancel") { routes.cancel(it) }
        get("/v1/load") { it.respondEither(LoadReport.serializer(), engine.load()) }
        get("/v1/cache/events") { routes.cacheEvents(it) }
        post("/v1/orders") { routes.order(it) }
        get("/v1/state") { it.respondEither(EngineTarget.serializer(), engine.state()) }
        get("/v1/held") { it.respondJson(HeldResponse.serializer(), HeldResponse(engine.held())) }
        post("/v1/kv/{id}/begin") { routes.beginTransfer(it) }
        post("/v1/kv/{id}/end") { routes.endTransfer(it) }
    }
    engine.address = EngineAddress("127.0.0.1", server.port)
    return server
}

private class EngineRoutes(private val engine: FakeEngine) {
    suspend fun complete(ctx: Context) {
        val id = engineId(ctx.header("X-Request-Id") ?: UUID.randomUUID().toString())
        val body = ctx.parse(CompletionRequest.serializer()) ?: return
        val request = body.toEngineRequest(id)
        val response = CompletionResponseWriter(ctx, request)
        when {
            body.isPrefill -> response.writePrefill(engine.prefill(request))
            body.stream -> response.writeStream(engine.decode(request, body.kvHandle()))
            else -> response.writeComplete(engine.decode(request, body.kvHandle()))
        }
    }

    fun cancel(ctx: Context) = ctx.respondEither(Unit.serializer(), engine.cancel(engineId(ctx.pathParam("id"))))

    fun cacheEvents(ctx: Context) {
        val after = ctx.queryParam("after")?.toLongOrNull() ?: 0
        ctx.respondEither(CacheEventsResponse.serializer(), engine.cacheEvents(after).map(::CacheEventsResponse))
    }

    fun order(ctx: Context) {
        val order = ctx.parse(EngineOrder.serializer()) ?: return
        ctx.respondEither(Unit.serializer(), engine.order(order))
    }

    fun beginTransfer(ctx: Context) {
        val time = engine.beginExport(ctx.pathParam("id"))
        if (time == null) return ctx.respondJson(HTTP_NOT_FOUND, "{}")
        ctx.respondJson(TransferResponse.serializer(), TransferResponse(time.toLong(DurationUnit.MICROSECONDS)))
    }

    fun endTransfer(ctx: Context) =
        ctx.respondJson(if (engine.endExport(ctx.pathParam("id"))) HTTP_OK else HTTP_NOT_FOUND, "{}")
}

private fun <T> Context.parse(serializer: KSerializer<T>): T? = try {
    wireJson.decodeFromString(serializer, body())
} catch (e: IllegalArgumentException) {
    respondJson(HTTP_BAD_REQUEST, errorJson(BackendFault(Executed.NO, e.message.orEmpty())))
    null
}

private fun <T> Context.respondEither(serializer: KSerializer<T>, result: Either<BackendFault, T>) =
    result.fold(::respondFault) { respondJson(serializer, it) }
