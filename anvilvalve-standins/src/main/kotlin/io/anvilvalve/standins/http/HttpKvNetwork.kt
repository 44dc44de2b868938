package io.anvilvalve.standins.http

import io.anvilvalve.api.port.KvHandle
import io.anvilvalve.standins.KvNetwork
import kotlinx.coroutines.future.await
import java.io.IOException
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import kotlin.time.Duration
import kotlin.time.Duration.Companion.microseconds

/** Starts and ends KV transfers over HTTP at the prefill engine whose address is in the handle. */
class HttpKvNetwork : KvNetwork {
    private val client = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()

    override suspend fun begin(handle: KvHandle): Duration? {
        val response = post(handle, "begin")?.takeIf { it.statusCode() == HTTP_OK } ?: return null
        return wireJson.decodeFromString(TransferResponse.serializer(), response.body()).linkMicros.microseconds
    }

    override suspend fun end(handle: KvHandle): Boolean = post(handle, "end")?.statusCode() == HTTP_OK

    private suspend fun post(handle: KvHandle, step: String): HttpResponse<String>? {
        val uri = URI("http://${handle.host}:${handle.port}/v1/kv/${handle.requestId}/$step")
        val request = HttpRequest.newBuilder(uri).POST(HttpRequest.BodyPublishers.noBody()).build()
        return try {
            client.sendAsync(request, HttpResponse.BodyHandlers.ofString()).await()
        } catch (_: IOException) {
            null
        }
    }
}
