package io.anvilvalve.standins.http

import io.anvilvalve.api.id.LogOffset
import io.anvilvalve.api.port.BackendFault
import io.anvilvalve.api.port.LogFault
import io.anvilvalve.api.port.LogPage
import io.anvilvalve.api.result.Executed
import io.anvilvalve.standins.FakeLogService
import io.javalin.http.Context
import java.util.Base64
import kotlin.time.Duration.Companion.milliseconds

/** Serves [log] over the protocol of the log service until the returned server is closed. */
fun serveLog(log: FakeLogService, port: Int = 0): StandinServer = StandinServer(port) { server ->
    val routes = LogRoutes(log)
    post("/v1/log/append") { server.handleAsync(it, routes::append) }
    get("/v1/log/read") { server.handleAsync(it, routes::read) }
}

private class LogRoutes(private val log: FakeLogService) {
    suspend fun append(ctx: Context) {
        val request = try {
            wireJson.decodeFromString(AppendRequest.serializer(), ctx.body())
                .records.map { Base64.getDecoder().decode(it) }
        } catch (e: IllegalArgumentException) {
            return ctx.respondJson(HTTP_BAD_REQUEST, errorJson(BackendFault(Executed.NO, e.message.orEmpty())))
        }
        log.append(request).fold({ ctx.respondLogFault(it) }) {
            ctx.respondJson(AppendResponse.serializer(), AppendResponse(it.value))
        }
    }

    suspend fun read(ctx: Context) {
        val from = ctx.queryParam("from")?.toLongOrNull() ?: 0
        val max = ctx.queryParam("max")?.toIntOrNull() ?: MAX_RECORDS_PER_READ
        val wait = (ctx.queryParam("wait_ms")?.toLongOrNull() ?: 0).milliseconds
        log.read(LogOffset(from), max.coerceIn(1, MAX_RECORDS_PER_READ), wait).fold({ ctx.respondLogFault(it) }) {
            ctx.respondJson(ReadResponse.serializer(), it.toResponse())
        }
    }

    private fun Context.respondLogFault(fault: LogFault) = when (fault) {
        is LogFault.RateLimited ->
            respondFault(BackendFault(Executed.NO, "over the rate of appends", HTTP_TOO_MANY))

        is LogFault.Unavailable ->
            respondFault(BackendFault(Executed.UNKNOWN, fault.reason, HTTP_UNAVAILABLE.takeIf { log.faults.down }))

        is LogFault.Truncated ->
            respondJson(
                ReadResponse.serializer(),
                ReadResponse(fault.firstRetained.value, log.endOffset.value, emptyList()),
            )
    }

    private fun LogPage.toResponse(): ReadResponse {
        val encoder = Base64.getEncoder()
        val encoded = records.map { ReadRecord(it.offset.value, encoder.encodeToString(it.data)) }
        return ReadResponse(firstRetained.value, end.value, encoded)
    }

    private companion object {
        const val MAX_RECORDS_PER_READ = 10_000
    }
}
