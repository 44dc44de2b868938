package io.anvilvalve.standins

import java.security.MessageDigest

/** Token count and prefix hashes of prompts, as a [FakeEngine] computes them. */
object PromptTokens {
    /** Characters that count as one token. */
    const val CHARS_PER_TOKEN = 4

    /** Tokens in one piece of KV memory. */
    const val TOKENS_PER_PIECE = 1_000

    /** Returns the number of tokens of [prompt], at least 1. */
    fun count(prompt: String): Int = maxOf(1, (prompt.length + CHARS_PER_TOKEN - 1) / CHARS_PER_TOKEN)

    /** Returns the number of KV pieces that [tokens] tokens occupy. */
    fun pieces(tokens: Int): Int = (tokens + TOKENS_PER_PIECE - 1) / TOKENS_PER_PIECE

    /**
     * Returns one hash for each full piece of [prompt], shortest prefix first.
     *
     * A hash is the first eight bytes of the SHA-256 over the UTF-8 bytes of the prefix.
     */
    fun prefixHashes(prompt: String): List<Long> {
        val charsPerPiece = CHARS_PER_TOKEN * TOKENS_PER_PIECE
        val digest = MessageDigest.getInstance("SHA-256")
        return (0 until prompt.length / charsPerPiece).map { piece ->
            digest.update(prompt.substring(piece * charsPerPiece, (piece + 1) * charsPerPiece).toByteArray())
            (digest.clone() as MessageDigest).digest().take(Long.SIZE_BYTES).fold(0L) { hash, byte ->
                (hash shl Byte.SIZE_BITS) or (byte.toLong() and BYTE_MASK)
            }
        }
    }

    private const val BYTE_MASK = 0xffL
}
