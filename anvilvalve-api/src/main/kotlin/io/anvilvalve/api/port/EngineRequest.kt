package io.anvilvalve.api.port

import io.anvilvalve.api.id.AdapterId
import io.anvilvalve.api.id.ModelId
import io.anvilvalve.api.id.RequestId

/**
 * A request to an engine.
 *
 * @property attempt number of the attempt; distinguishes the attempts of one request at engines and in streams.
 * @property promptTokens length of the prompt in tokens.
 * @property resumeFrom sequence number of the first token to generate.
 */
data class EngineRequest(
    val id: RequestId,
    val attempt: Int,
    val model: ModelId,
    val prompt: String,
    val promptTokens: Int,
    val maxTokens: Int,
    val priority: Int = 0,
    val adapter: AdapterId? = null,
    val resumeFrom: Int = 0,
) {
    /** Identifier of this attempt in calls to engines. */
    val engineId: String get() = "${id.value}.$attempt"
}
