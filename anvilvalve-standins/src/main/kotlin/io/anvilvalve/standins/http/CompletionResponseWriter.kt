package io.anvilvalve.standins.http

import arrow.core.Either
import io.anvilvalve.api.port.BackendFault
import io.anvilvalve.api.port.EngineRequest
import io.anvilvalve.api.port.KvHandle
import io.anvilvalve.api.port.TokenChunk
import io.javalin.http.Context
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.toList
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject
import java.io.OutputStream

/** Writes the response to one completion request in the formats of the engine protocol. */
internal class CompletionResponseWriter(private val ctx: Context, private val request: EngineRequest) {
    private var ended = false

    fun writePrefill(result: Either<BackendFault, KvHandle>) = result.fold(ctx::respondFault) { handle ->
        ctx.respondJson(HTTP_OK, completion("", "length", tokens = 1, handle))
    }

    suspend fun writeComplete(flow: Flow<Either<BackendFault, TokenChunk>>) {
        val results = flow.toList()
        val fault = results.firstNotNullOfOrNull { it.leftOrNull() }
        val chunks = results.mapNotNull { it.getOrNull() }.sortedBy { it.index }.distinctBy { it.index }
        val reason = chunks.lastOrNull()?.finishReason
        when {
            fault != null -> ctx.respondFault(fault)
            reason == null -> CallerConnection.of(ctx).abort()
            else -> ctx.respondJson(HTTP_OK, completion(chunks.joinToString("") { it.text }, reason, chunks.size))
        }
    }

    /** Streams server-sent events; closes the connection without completing the response if the flow breaks off. */
    suspend fun writeStream(flow: Flow<Either<BackendFault, TokenChunk>>) {
        var output: OutputStream? = null
        flow.collect { part ->
            val out = output
            when {
                out == null && part.isLeft() -> part.onLeft { refuse(it) }
                else -> writePart(out ?: beginStream().also { output = it }, part)
            }
        }
        if (!ended) CallerConnection.of(ctx).abort()
    }

    private fun refuse(fault: BackendFault) {
        ended = true
        ctx.respondFault(fault)
    }

    private fun beginStream(): OutputStream {
        ctx.res().contentType = "text/event-stream"
        ctx.res().setHeader("Cache-Control", "no-cache")
        return ctx.res().outputStream
    }

    private fun writePart(out: OutputStream, part: Either<BackendFault, TokenChunk>) {
        part.fold({ out.writeEvent(errorJson(it)) }) { out.writeEvent(chunkJson(it)) }
        ended = part.fold({ true }) { it.finishReason != null }
        if (part.isRight() && ended) out.writeEvent("[DONE]")
        out.flush()
    }

    private val chunkPrefix = """{"id":${JsonPrimitive(request.engineId)},"object":"text_completion",""" +
        """"model":${JsonPrimitive(request.model.value)},"index":"""

    private fun chunkJson(chunk: TokenChunk): String {
        val reason = chunk.finishReason?.let { "\"$it\"" }
        return "$chunkPrefix${chunk.index},\"choices\":[{\"index\":0,\"text\":${JsonPrimitive(chunk.text)}," +
            "\"finish_reason\":$reason}]}"
    }

    private fun completion(text: String, reason: String, tokens: Int, handle: KvHandle? = null): String =
        buildJsonObject {
            put("id", request.engineId)
            put("object", "text_completion")
            put("model", request.model.value)
            putJsonArray("choices") {
                addJsonObject {
                    put("index", 0)
                    put("text", text)
                    put("finish_reason", reason)
                }
            }
            putJsonObject("usage") {
                put("prompt_tokens", request.promptTokens)
                put("completion_tokens", tokens)
                put("total_tokens", request.promptTokens + tokens)
            }
            if (handle != null) {
                put("kv_transfer_params", wireJson.encodeToJsonElement(KvHandle.serializer(), handle))
            }
        }.toString()
}

private fun OutputStream.writeEvent(data: String) = write("data: $data\n\n".toByteArray())
