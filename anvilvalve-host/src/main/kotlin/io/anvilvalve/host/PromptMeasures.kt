package io.anvilvalve.host

/** Estimates of a prompt that the rules need; engines count the tokens themselves. */
internal object PromptMeasures {
    /** English and source text average about four characters per token with common tokenizers. */
    const val CHARS_PER_TOKEN = 4

    /** KV cache is managed in blocks of about 1,000 tokens. */
    const val TOKENS_PER_BLOCK = 1_000

    private const val FNV_OFFSET = -3_750_763_034_362_895_579L
    private const val FNV_PRIME = 1_099_511_628_211L

    /** Estimated tokens of [prompt], at least 1. */
    fun tokens(prompt: String): Int = maxOf(1, (prompt.length + CHARS_PER_TOKEN - 1) / CHARS_PER_TOKEN)

    /** FNV-1a hashes of the prefixes that fill 1, 2, ... whole blocks. */
    fun prefixHashes(prompt: String): List<Long> {
        val blockChars = CHARS_PER_TOKEN * TOKENS_PER_BLOCK
        val hashes = ArrayList<Long>(prompt.length / blockChars)
        var hash = FNV_OFFSET
        for (i in prompt.indices) {
            hash = (hash xor prompt[i].code.toLong()) * FNV_PRIME
            if ((i + 1) % blockChars == 0) hashes += hash
        }
        return hashes
    }
}
