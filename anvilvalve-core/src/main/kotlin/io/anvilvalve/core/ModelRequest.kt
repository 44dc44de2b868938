package io.anvilvalve.core

import io.anvilvalve.api.id.AdapterId
import io.anvilvalve.api.id.KeyHash
import io.anvilvalve.api.id.ModelId
import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.peer.WorkClass

/**
 * The part of a caller's model request that the rules need; the daemon keeps the prompt.
 *
 * @property key hash of the caller's key, or null when the request carries none.
 * @property prefixHashes hashes of the prompt's prefixes, one for each full KV piece, shortest first.
 */
data class ModelRequest(
    val id: RequestId,
    val key: KeyHash?,
    val model: ModelId,
    val promptTokens: Int,
    val maxTokens: Int,
    val workClass: WorkClass,
    val adapter: AdapterId? = null,
    val prefixHashes: List<Long> = emptyList(),
)
