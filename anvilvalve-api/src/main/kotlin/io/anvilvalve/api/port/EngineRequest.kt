package io.anvilvalve.api.port

import io.anvilvalve.api.id.AdapterId
import io.anvilvalve.api.id.ModelId
import io.anvilvalve.api.id.RequestId

/**
 * A request to an engine.
 *
 * @property attempt number of the attempt; engines and streams tell attempts of one request apart by it.
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
    /** Identity of this attempt towards engines. */
    val engineId: String get() = "${id.value}.$attempt"
}
