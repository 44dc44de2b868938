package io.anvilvalve.host

import java.nio.ByteBuffer
import java.security.MessageDigest

/** Token estimate and prefix hashes of a prompt, used for routing; engines count the exact tokens. */
internal object PromptMeasures {
    /** Average of common tokenizers for English text and source code. */
    const val CHARS_PER_TOKEN = 4

    /** Approximate size of a KV cache block. */
    const val TOKENS_PER_BLOCK = 1_000

    private const val CHARS_PER_BLOCK = CHARS_PER_TOKEN * TOKENS_PER_BLOCK

    /** Returns the estimated number of tokens of [prompt], at least 1. */
    fun estimateTokens(prompt: String): Int = maxOf(1, (prompt.length + CHARS_PER_TOKEN - 1) / CHARS_PER_TOKEN)

    /**
     * Returns the hashes of the prefixes of [prompt] that consist of 1, 2, ... complete blocks.
     *
     * A hash is the first eight bytes of the SHA-256 of the prefix in UTF-8. Engines report the same hashes in cache
     * events.
     */
    fun prefixHashes(prompt: String): List<Long> {
        val digest = MessageDigest.getInstance("SHA-256")
        return (0 until prompt.length / CHARS_PER_BLOCK).map { block ->
            digest.update(prompt.substring(block * CHARS_PER_BLOCK, (block + 1) * CHARS_PER_BLOCK).toByteArray())
            ByteBuffer.wrap((digest.clone() as MessageDigest).digest()).getLong()
        }
    }
}
