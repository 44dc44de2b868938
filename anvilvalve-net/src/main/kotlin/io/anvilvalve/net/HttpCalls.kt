package io.anvilvalve.net

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.anvilvalve.api.port.BackendFault
import io.anvilvalve.api.result.Executed
import kotlinx.coroutines.suspendCancellableCoroutine
import kotlinx.serialization.json.Json
import okhttp3.Call
import okhttp3.Callback
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import java.io.IOException
import kotlin.coroutines.resume

/** JSON format of the platform's services and engines; unknown fields are ignored so that they can add fields. */
internal val wireJson = Json {
    ignoreUnknownKeys = true
    encodeDefaults = true
    explicitNulls = false
}

private val jsonType = "application/json".toMediaType()

internal fun jsonBody(text: String): RequestBody = text.toRequestBody(jsonType)

/** A fully read HTTP response. */
internal class HttpReply(val status: Int, val contentType: String?, val body: ByteArray) {
    val text: String get() = body.decodeToString()
}

/** Performs [request] and fails on a response body over [limit] bytes; cancelling the coroutine cancels the call. */
internal suspend fun OkHttpClient.exchange(request: Request, limit: Int): Either<BackendFault, HttpReply> {
    val call = newCall(request)
    return suspendCancellableCoroutine { continuation ->
        continuation.invokeOnCancellation { call.cancel() }
        call.enqueue(
            object : Callback {
                override fun onFailure(call: Call, e: IOException) =
                    continuation.resume(e.toFault(Executed.UNKNOWN).left())

                override fun onResponse(call: Call, response: Response) = continuation.resume(response.readBody(limit))
            },
        )
    }
}

internal fun IOException.toFault(executed: Executed): BackendFault = BackendFault(executed, reason)

private fun Response.readBody(limit: Int): Either<BackendFault, HttpReply> = use {
    try {
        val source = body.source()
        if (source.request(limit + 1L)) {
            BackendFault(Executed.UNKNOWN, "answer exceeds $limit bytes", code).left()
        } else {
            HttpReply(code, header("Content-Type"), source.buffer.readByteArray()).right()
        }
    } catch (e: IOException) {
        e.toFault(Executed.UNKNOWN).copy(status = code).left()
    }
}
