package io.anvilvalve.cli

import arrow.core.Either
import arrow.core.flatMap
import io.anvilvalve.api.id.KeyHash
import io.anvilvalve.net.bytesAtMost
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.withContext
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import kotlin.time.Duration

/** [OperatorApi] over HTTP; error messages never contain [token]. */
internal class HttpOperatorApi(private val client: OkHttpClient, private val token: String) : OperatorApi {
    override suspend fun status(address: String): Either<String, HostStatus> =
        call(Request.Builder().url("http://$address/admin/status")).flatMap { body ->
            Either.catch { CliJson.lenient.decodeFromString(HostStatus.serializer(), body) }
                .mapLeft { "the response is not a valid host status" }
        }

    override suspend fun withdrawKey(address: String, hash: KeyHash): Either<String, Unit> =
        post(address, "keys/withdraw", "hash" to JsonPrimitive(hash.hex))

    override suspend fun drain(address: String, deadline: Duration): Either<String, Unit> =
        post(address, "drain", "deadline_s" to JsonPrimitive(deadline.inWholeSeconds))

    private suspend fun post(address: String, path: String, field: Pair<String, JsonPrimitive>): Either<String, Unit> {
        val body = JsonObject(mapOf(field)).toString().toRequestBody("application/json".toMediaType())
        return call(Request.Builder().url("http://$address/admin/$path").post(body)).map { }
    }

    private suspend fun call(request: Request.Builder): Either<String, String> = withContext(Dispatchers.IO) {
        Either.catch { client.newCall(request.header("Authorization", "Bearer $token").build()).execute() }
            .mapLeft { it.message ?: it.javaClass.simpleName }
            .flatMap { response ->
                response.use { answer ->
                    Either.catch { answer.body.bytesAtMost(MAX_ANSWER_BYTES).decodeToString() }
                        .mapLeft { it.message ?: it.javaClass.simpleName }
                        .flatMap { if (answer.isSuccessful) Either.Right(it) else Either.Left("HTTP ${answer.code}") }
                }
            }
    }

    companion object {
        /** A status lists the members of a fleet. */
        const val MAX_ANSWER_BYTES = 1024L * 1024
    }
}
