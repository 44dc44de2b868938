package io.anvilvalve.net

import io.anvilvalve.api.port.CacheEvent
import io.anvilvalve.api.port.EngineRequest
import io.anvilvalve.api.port.KvHandle
import io.anvilvalve.api.port.TokenChunk
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put

/** Body of a completion request to an engine. */
@Serializable
internal class CompletionBody(
    val model: String,
    val prompt: String,
    @SerialName("max_tokens") val maxTokens: Int,
    val stream: Boolean,
    val priority: Int,
    @SerialName("resume_from") val resumeFrom: Int,
    val adapter: String? = null,
    @SerialName("kv_transfer_params") val kv: JsonElement? = null,
) {
    companion object {
        fun prefill(request: EngineRequest) =
            of(request, maxTokens = 1, stream = false, buildJsonObject { put("do_remote_decode", true) })

        fun decode(request: EngineRequest, kv: KvHandle?) = of(
            request,
            request.maxTokens,
            stream = true,
            kv?.let { wireJson.encodeToJsonElement(KvHandle.serializer(), it) },
        )

        private fun of(request: EngineRequest, maxTokens: Int, stream: Boolean, kv: JsonElement?) = CompletionBody(
            request.model.value,
            request.prompt,
            maxTokens,
            stream,
            request.priority,
            request.resumeFrom,
            request.adapter?.value,
            kv,
        )
    }
}

@Serializable
internal class PrefillReply(@SerialName("kv_transfer_params") val kv: KvHandle)

@Serializable
internal class CacheReply(val events: List<CacheEvent>)

/** One server-sent event of an engine's token stream; [index] is the sequence number of the token. */
@Serializable
internal class StreamEvent(val index: Int, val choices: List<Choice>) {
    @Serializable
    class Choice(val text: String = "", @SerialName("finish_reason") val finishReason: String? = null)

    fun toChunk(): TokenChunk = choices.first().let { TokenChunk(index, it.text, it.finishReason) }
}
