package io.anvilvalve.standins.http

import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.port.LoadReport
import io.anvilvalve.api.port.ServiceCall
import io.anvilvalve.standins.FakePlainService
import io.javalin.http.Context
import java.util.UUID

/** Serves [service] on every path, and its load report, until the returned server is closed. */
fun servePlainService(service: FakePlainService, port: Int = 0): StandinServer = StandinServer(port) { server ->
    get("/v1/load") { it.respondJson(LoadReport.serializer(), service.load()) }
    val call: (Context) -> Unit = { ctx -> server.handleAsync(ctx) { handleCall(service, it) } }
    for (path in listOf("/", "/<path>")) {
        get(path, call)
        post(path, call)
        put(path, call)
        patch(path, call)
        delete(path, call)
    }
}

private suspend fun handleCall(service: FakePlainService, ctx: Context) {
    val call = ServiceCall(
        id = RequestId(ctx.header("X-Request-Id") ?: UUID.randomUUID().toString()),
        method = ctx.method().name,
        path = ctx.path() + ctx.queryString()?.let { "?$it" }.orEmpty(),
        contentType = ctx.contentType(),
        body = ctx.bodyAsBytes(),
        idempotencyKey = ctx.header("Idempotency-Key"),
    )
    service.call(call).fold(ctx::respondFault) { reply ->
        ctx.status(reply.status)
        ctx.contentType(reply.contentType)
        ctx.result(reply.body)
    }
}
