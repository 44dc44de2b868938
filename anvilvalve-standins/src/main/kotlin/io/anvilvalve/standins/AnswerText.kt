package io.anvilvalve.standins

import io.anvilvalve.api.id.ModelId

/** Answer text of a [FakeEngine], computed from model, prompt and token index so that tests can verify it. */
object AnswerText {
    private const val CONSONANTS = "bdfgklmnprstvz"
    private const val VOWELS = "aeiou"
    private const val SYLLABLES = 2

    /** Returns the seed for [token], a hash of [model] and [prompt]. */
    fun seed(model: ModelId, prompt: String): Long {
        var hash = FNV_OFFSET
        for (char in model.value) hash = (hash xor char.code.toLong()) * FNV_PRIME
        hash = (hash xor '\n'.code.toLong()) * FNV_PRIME
        for (char in prompt) hash = (hash xor char.code.toLong()) * FNV_PRIME
        return hash
    }

    /** Returns the token at [index] of the answer with [seed]; it ends with a space. */
    fun token(seed: Long, index: Int): String {
        var bits = mix(seed + index * GOLDEN_GAMMA)
        return buildString(SYLLABLES * 2 + 1) {
            repeat(SYLLABLES) {
                append(CONSONANTS[(bits ushr 1).mod(CONSONANTS.length)])
                bits = mix(bits)
                append(VOWELS[(bits ushr 1).mod(VOWELS.length)])
                bits = mix(bits)
            }
            append(' ')
        }
    }

    /** Returns the first [tokens] tokens of the answer to [prompt]. */
    fun answer(model: ModelId, prompt: String, tokens: Int): String {
        val seed = seed(model, prompt)
        return (0 until tokens).joinToString("") { token(seed, it) }
    }

    private fun mix(value: Long): Long {
        var bits = (value xor (value ushr 30)) * -0x40a7b892e31b1a47L
        bits = (bits xor (bits ushr 27)) * -0x6b2fb644ecceee15L
        return bits xor (bits ushr 31)
    }

    private const val FNV_OFFSET = -0x340d631b7bdddcdbL
    private const val FNV_PRIME = 0x100000001b3L
    private const val GOLDEN_GAMMA = -0x61c8864680b583ebL
}
