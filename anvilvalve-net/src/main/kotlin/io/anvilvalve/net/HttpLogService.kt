package io.anvilvalve.net

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.anvilvalve.api.id.LogOffset
import io.anvilvalve.api.port.BackendFault
import io.anvilvalve.api.port.LogFault
import io.anvilvalve.api.port.LogPage
import io.anvilvalve.api.port.LogService
import io.anvilvalve.api.port.StoredRecord
import io.anvilvalve.api.result.bounded
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import okhttp3.HttpUrl.Companion.toHttpUrl
import java.util.Base64
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Appends to and reads from the platform's log over HTTP at [baseUrl], such as `http://127.0.0.1:7000`.
 *
 * @param timeout upper bound on the duration of a call; a read gets its `wait` in addition.
 */
class HttpLogService(
    baseUrl: String,
    private val timeout: Duration = 5.seconds,
    calls: ServerCalls = SingleUseCalls(CONNECT_TIMEOUT),
) : LogService {
    private val calls = AsyncCalls(calls)
    private val base = baseUrl.toHttpUrl()

    override suspend fun append(records: List<ByteArray>): Either<LogFault, LogOffset> {
        val body = AppendBody(records.map { Base64.getEncoder().encodeToString(it) })
        val json = wireJson.encodeToString(AppendBody.serializer(), body)
        val request = base.newBuilder().addPathSegments("v1/log/append").build().toCallRequest(json = json)
        return send(request, AppendReply.serializer(), timeout).map { LogOffset(it.firstOffset) }
    }

    override suspend fun read(from: LogOffset, limit: Int, wait: Duration): Either<LogFault, LogPage> {
        val url = base.newBuilder()
            .addPathSegments("v1/log/read")
            .addQueryParameter("from", from.value.toString())
            .addQueryParameter("max", limit.toString())
            .addQueryParameter("wait_ms", wait.inWholeMilliseconds.toString())
            .build()
        return send(url.toCallRequest(), ReadReply.serializer(), timeout + wait)
            .flatMap { it.toPage(from) }
    }

    private suspend fun <T> send(
        request: CallRequest,
        serializer: KSerializer<T>,
        limit: Duration,
    ): Either<LogFault, T> =
        calls.exchange(request, limit, MAX_ANSWER_BYTES).mapLeft(::unavailable).flatMap { it.parse(serializer) }

    private fun <T> HttpReply.parse(serializer: KSerializer<T>): Either<LogFault, T> = when (status) {
        OK -> Either.catch { wireJson.decodeFromString(serializer, text) }
            .mapLeft { LogFault.Unavailable("malformed answer: ${it.message.bounded()}") }

        TOO_MANY_REQUESTS -> LogFault.RateLimited.left()

        else -> LogFault.Unavailable("status $status").left()
    }

    private fun unavailable(fault: BackendFault) = LogFault.Unavailable(fault.reason)

    @Serializable
    private class AppendBody(val records: List<String>)

    @Serializable
    private class AppendReply(@SerialName("first_offset") val firstOffset: Long)

    @Serializable
    private class RecordEntry(val offset: Long, val data: String)

    @Serializable
    private class ReadReply(
        @SerialName("first_retained") val firstRetained: Long,
        val end: Long,
        val records: List<RecordEntry>,
    ) {
        /**
         * Rejects a page whose records are not consecutive from [from] on or extend past [end], because a skipped
         * record would never be read again.
         */
        fun toPage(from: LogOffset): Either<LogFault, LogPage> {
            val start = maxOf(from.value, 0)
            if (start < firstRetained) return LogFault.Truncated(LogOffset(firstRetained)).left()
            val consecutive = records.withIndex().all { (i, entry) -> entry.offset == start + i }
            if (!consecutive || start + records.size > maxOf(end, start)) {
                return LogFault.Unavailable("offsets are not consecutive from $start or past the end $end").left()
            }
            return Either.catch {
                records.map { StoredRecord(LogOffset(it.offset), Base64.getDecoder().decode(it.data)) }
            }
                .mapLeft { LogFault.Unavailable("malformed record: ${it.message.bounded()}") }
                .flatMap { LogPage(LogOffset(firstRetained), LogOffset(end), it).right() }
        }
    }

    private companion object {
        val CONNECT_TIMEOUT = 1.seconds
        const val OK = 200
        const val TOO_MANY_REQUESTS = 429
        const val MAX_ANSWER_BYTES = 16 * 1024 * 1024
    }
}
