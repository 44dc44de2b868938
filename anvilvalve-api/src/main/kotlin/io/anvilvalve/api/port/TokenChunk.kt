package io.anvilvalve.api.port

/**
 * One generated token of a stream.
 *
 * @property index sequence number within the answer, from 0.
 * @property finishReason null until the last chunk, then `stop` or `length`.
 */
data class TokenChunk(val index: Int, val text: String, val finishReason: String? = null)
