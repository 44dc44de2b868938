package io.anvilvalve.net

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.anvilvalve.api.port.BackendFault
import io.anvilvalve.api.port.TokenChunk
import io.anvilvalve.api.result.Executed
import io.anvilvalve.api.result.bounded
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
import kotlinx.serialization.Serializable
import java.io.IOException

private const val MAX_ERROR_BYTES = 4_096L
private const val STATUS_OK = 200
private const val DONE_MARKER = "[DONE]"

/** Statuses that mean "not executed". 408 is not among them, because a request may time out after partial execution. */
private val notExecutedStatuses = setOf(400, 401, 403, 404, 405, 409, 413, 415, 422, 429, 503)

/** Converts an error response; `executed` in its body takes precedence over the meaning of the status. */
internal fun statusFault(status: Int, text: String): BackendFault {
    val byStatus = if (status in notExecutedStatuses) Executed.NO else Executed.UNKNOWN
    val reported = Either.catch { wireJson.decodeFromString(ErrorReply.serializer(), text).error.executed }.getOrNull()
    return BackendFault(reported ?: byStatus, text.bounded(MAX_ERROR_BYTES.toInt()), status)
}

@Serializable
private class ErrorReply(val error: Error) {
    @Serializable
    class Error(val executed: Executed? = null)
}

/** Streams the tokens of [request]; reads on the collector's thread. Cancelling the collector cancels the call. */
internal fun tokenFlow(calls: ServerCalls, request: CallRequest): Flow<Either<BackendFault, TokenChunk>> = flow {
    calls.create(request).use { call ->
        coroutineScope {
            val callCancellation = launchCallCancellation(call)
            tryRead(call::executed) { call.execute() }.fold({ emit(it.left()) }, { emitTokens(it) })
            callCancellation.cancel()
        }
    }
}

/** Converts an [IOException] of [read] only: an exception of the collector must pass through the flow unchanged. */
private suspend fun <T> tryRead(executed: () -> Executed, read: () -> T): Either<BackendFault, T> = try {
    read().right()
} catch (e: IOException) {
    currentCoroutineContext().ensureActive()
    e.toFault(executed()).left()
}

/** Starts a coroutine that cancels [call] on cancellation, which a blocking read does not notice. */
private fun CoroutineScope.launchCallCancellation(call: ServerCall): Job = launch(Dispatchers.Default) {
    try {
        awaitCancellation()
    } finally {
        call.close()
    }
}

private suspend fun FlowCollector<Either<BackendFault, TokenChunk>>.emitTokens(answer: ServerAnswer) {
    if (answer.status != STATUS_OK) {
        return emit(statusFault(answer.status, answer.errorText()).left())
    }
    val events = SseReader(answer.body)
    var last = false
    while (!last) {
        val data = tryRead({ Executed.UNKNOWN }) { events.next() }
        if (data.isRight { it == null || it == DONE_MARKER }) return
        val chunk = data.flatMap { parseChunk(it.orEmpty()) }
        emit(chunk)
        last = chunk.fold({ true }, { it.finishReason != null })
    }
}

private fun ServerAnswer.errorText(): String = try {
    body.request(MAX_ERROR_BYTES)
    body.buffer.readUtf8(minOf(MAX_ERROR_BYTES, body.buffer.size))
} catch (e: IOException) {
    "unreadable error body: ${e.message.bounded()}"
}

private fun parseChunk(data: String): Either<BackendFault, TokenChunk> = try {
    wireJson.decodeFromString(StreamEvent.serializer(), data).toChunk().right()
} catch (e: IllegalArgumentException) {
    BackendFault(Executed.UNKNOWN, "malformed event: ${e.message.bounded()}", STATUS_OK).left()
} catch (e: NoSuchElementException) {
    BackendFault(Executed.UNKNOWN, "event without a choice: ${e.message.bounded()}", STATUS_OK).left()
}
