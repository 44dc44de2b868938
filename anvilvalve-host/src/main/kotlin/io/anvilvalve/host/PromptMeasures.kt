package io.anvilvalve.host

import java.nio.ByteBuffer
import java.security.MessageDigest

/** Estimates of a prompt that the rules need; engines count the tokens themselves. */
internal object PromptMeasures {
    /** English and source text average about four characters per token with common tokenizers. */
    const val CHARS_PER_TOKEN = 4

    /** KV cache is managed in blocks of about 1,000 tokens. */
    const val TOKENS_PER_BLOCK = 1_000

    private const val CHARS_PER_BLOCK = CHARS_PER_TOKEN * TOKENS_PER_BLOCK

    /** Estimated tokens of [prompt], at least 1. */
    fun estimateTokens(prompt: String): Int = maxOf(1, (prompt.length + CHARS_PER_TOKEN - 1) / CHARS_PER_TOKEN)

    /**
     * Hashes of the prefixes that fill 1, 2, ... whole blocks of [prompt].
     *
     * A hash is the first eight bytes of the SHA-256 over the UTF-8 bytes of the prefix, as engines report it in cache
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
