package io.anvilvalve.standins.http

import io.anvilvalve.api.id.AdapterId
import io.anvilvalve.api.id.ModelId
import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.port.CacheEvent
import io.anvilvalve.api.port.EngineRequest
import io.anvilvalve.api.port.KvHandle
import io.anvilvalve.standins.PromptTokens
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.booleanOrNull

@Serializable
internal class CompletionRequest(
    val model: String,
    val prompt: String,
    @SerialName("max_tokens") val maxTokens: Int = 16,
    val stream: Boolean = false,
    val priority: Int = 0,
    val adapter: String? = null,
    @SerialName("resume_from") val resumeFrom: Int = 0,
    @SerialName("prompt_tokens") val promptTokens: Int? = null,
    @SerialName("kv_transfer_params") val transfer: JsonObject? = null,
) {
    /** Whether this engine only computes the prompt, for decoding by another engine. */
    val isPrefill: Boolean get() = transferFlag("do_remote_decode")

    /** Handle of the KV cache computed by a prefill engine, or null if this engine computes the prompt itself. */
    fun kvHandle(): KvHandle? = if (transferFlag("do_remote_prefill")) {
        wireJson.decodeFromJsonElement(KvHandle.serializer(), checkNotNull(transfer))
    } else {
        null
    }

    fun toEngineRequest(engineId: String) = EngineRequest(
        id = RequestId(engineId.substringBeforeLast('.')),
        attempt = engineId.substringAfterLast('.').toInt(),
        model = ModelId(model),
        prompt = prompt,
        promptTokens = promptTokens ?: PromptTokens.count(prompt),
        // A prefill requests one token; the tokens before resumeFrom count as part of its prompt.
        maxTokens = if (isPrefill) maxOf(maxTokens, resumeFrom + 1) else maxTokens,
        priority = priority,
        adapter = adapter?.let(::AdapterId),
        resumeFrom = resumeFrom,
    )

    private fun transferFlag(name: String): Boolean = (transfer?.get(name) as? JsonPrimitive)?.booleanOrNull ?: false
}

@Serializable
internal class CacheEventsResponse(val events: List<CacheEvent>)

@Serializable
internal class HeldResponse(val held: List<String>)

@Serializable
internal class TransferResponse(@SerialName("link_micros") val linkMicros: Long)

/** Returns the id of an attempt in the form `request.attempt`, with attempt 0 if [header] names none. */
internal fun engineId(header: String): String =
    if (header.substringAfterLast('.', "").toIntOrNull() == null) "$header.0" else header
