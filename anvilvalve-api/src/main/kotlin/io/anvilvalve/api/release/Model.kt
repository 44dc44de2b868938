package io.anvilvalve.api.release

import io.anvilvalve.api.id.ModelId
import kotlinx.serialization.Serializable

/**
 * A model as a release describes it.
 *
 * @property version version that backend servers are ordered to load.
 * @property kvBytesPerToken size of the KV cache of one token in bytes.
 * @property maxContextTokens upper bound on prompt and answer together, in tokens.
 */
@Serializable
data class Model(
    val id: ModelId,
    val version: String = "1",
    val kvBytesPerToken: Long = 131_072,
    val maxContextTokens: Int = 131_072,
)
