package io.anvilvalve.net

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.anvilvalve.api.port.BackendFault
import io.anvilvalve.api.port.TokenChunk
import io.anvilvalve.api.result.Executed
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.FlowCollector
import kotlinx.coroutines.flow.flow
import kotlinx.coroutines.launch
import okhttp3.Call
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.Response
import java.io.IOException

private const val MAX_ERROR_BYTES = 4_096L
private const val SUCCESS = 200
private const val DONE = "[DONE]"

/** Statuses with which a backend server says that it did not run the request; 408 may come after a part has run. */
private val notRunStatuses = setOf(400, 401, 403, 404, 405, 409, 413, 415, 422, 429, 503)

internal fun statusFault(status: Int, text: String): BackendFault {
    val executed = if (status in notRunStatuses) Executed.NO else Executed.UNKNOWN
    return BackendFault(executed, text.take(MAX_ERROR_BYTES.toInt()), status)
}

/** Streams the tokens of [request]; reads on the collector's thread, and cancelling the collector closes the call. */
internal fun tokenFlow(client: OkHttpClient, request: Request): Flow<Either<BackendFault, TokenChunk>> = flow {
    val marker = SentMarker()
    val call = client.newCall(request.newBuilder().tag(SentMarker::class.java, marker).build())
    coroutineScope {
        val watch = cancelWith(call)
        try {
            call.execute().use { emitTokens(it) }
        } catch (e: IOException) {
            currentCoroutineContext().ensureActive()
            emit(e.toFault(marker.executed).left())
        }
        watch.cancel()
    }
}

/** A blocking read does not see that its coroutine is cancelled; a second coroutine closes the call instead. */
private fun CoroutineScope.cancelWith(call: Call): Job = launch(Dispatchers.Default) {
    try {
        awaitCancellation()
    } finally {
        call.cancel()
    }
}

private suspend fun FlowCollector<Either<BackendFault, TokenChunk>>.emitTokens(response: Response) {
    if (response.code != SUCCESS) {
        val source = response.body.source()
        source.request(MAX_ERROR_BYTES)
        val text = source.buffer.readUtf8(minOf(MAX_ERROR_BYTES, source.buffer.size))
        return emit(statusFault(response.code, text).left())
    }
    val events = SseReader(response.body.source())
    while (true) {
        val data = events.next() ?: return
        if (data == DONE) return
        val chunk = parseChunk(data)
        emit(chunk)
        if (chunk.isLeft() || chunk.getOrNull()?.finishReason != null) return
    }
}

private fun parseChunk(data: String): Either<BackendFault, TokenChunk> = try {
    wireJson.decodeFromString(StreamEvent.serializer(), data).toChunk().right()
} catch (e: IllegalArgumentException) {
    BackendFault(Executed.UNKNOWN, "malformed event: ${e.message}", SUCCESS).left()
} catch (e: NoSuchElementException) {
    BackendFault(Executed.UNKNOWN, "event without a choice: ${e.message}", SUCCESS).left()
}
