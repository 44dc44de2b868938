package io.anvilvalve.cli

import arrow.core.Either
import arrow.core.flatMap
import io.anvilvalve.api.id.KeyHash
import io.anvilvalve.net.ServerCalls
import io.anvilvalve.net.executeWithin
import io.anvilvalve.net.toCallRequest
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withContext
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import okhttp3.Headers.Companion.headersOf
import okhttp3.HttpUrl.Companion.toHttpUrl
import kotlin.time.Duration

/**
 * [OperatorApi] over HTTP; error messages never contain [token].
 *
 * @param timeout upper bound on the duration of a call.
 */
internal class HttpOperatorApi(
    private val calls: ServerCalls,
    private val token: String,
    private val timeout: Duration,
) : OperatorApi {
    override suspend fun status(address: String): Either<String, HostStatus> = call(address, "status").flatMap { body ->
        Either.catch { CliJson.lenient.decodeFromString(HostStatus.serializer(), body) }
            .mapLeft { "the response is not a valid host status" }
    }

    override suspend fun withdrawKey(address: String, hash: KeyHash): Either<String, Unit> =
        post(address, "keys/withdraw", "hash" to JsonPrimitive(hash.hex))

    override suspend fun drain(address: String, deadline: Duration): Either<String, Unit> =
        post(address, "drain", "deadline_s" to JsonPrimitive(deadline.inWholeSeconds))

    private suspend fun post(address: String, path: String, field: Pair<String, JsonPrimitive>): Either<String, Unit> =
        call(address, path, JsonObject(mapOf(field)).toString()).map { }

    private suspend fun call(address: String, path: String, json: String? = null): Either<String, String> =
        withContext(Dispatchers.IO) {
            Either.catch {
                val head = headersOf("Authorization", "Bearer $token")
                val request = "http://$address/admin/$path".toHttpUrl().toCallRequest(head, json)
                calls.create(request).executeWithin(timeout) {
                    it.status to it.bytesAtMost(MAX_ANSWER_BYTES).decodeToString()
                }
            }
                .mapLeft { it.message ?: it.javaClass.simpleName }
                .flatMap { (status, text) ->
                    if (status in SUCCESS_STATUSES) Either.Right(text) else Either.Left("HTTP $status")
                }
        }

    companion object {
        /** A status lists the members of a fleet. */
        const val MAX_ANSWER_BYTES = 1024L * 1024
        private val SUCCESS_STATUSES = 200..299
    }
}
