package io.anvilvalve.api

/**
 * Rendezvous hashing: every host that knows the same nodes picks the same one for a key.
 *
 * When a node is removed, only the keys that were assigned to it move to another node.
 */
object RendezvousHash {
    private const val OFFSET_BASIS = -0x340d631b7bdddcdbL
    private const val PRIME = 0x100000001b3L
    private const val FIRST_MULTIPLIER = -0x00ae502812aa7333L
    private const val SECOND_MULTIPLIER = -0x3b314601e57a13adL
    private const val SHIFT = 33

    /** Separates key and node in the hashed text, so that different pairs never hash the same text. */
    private const val SEPARATOR = '\u0000'

    /** Returns the score of [node] for [key], which depends only on these two and is the same in every process. */
    fun score(key: String, node: String): Long {
        var hash = fnv1a(OFFSET_BASIS, key)
        hash = (hash xor SEPARATOR.code.toLong()) * PRIME
        return mix(fnv1a(hash, node))
    }

    /** Returns the node with the highest score for [key], or null when there is none. */
    fun choose(key: String, nodes: Collection<String>): String? = nodes.minWithOrNull(order(key))

    /** Returns [nodes] by descending score for [key]. */
    fun rank(key: String, nodes: Collection<String>): List<String> = nodes.sortedWith(order(key))

    private fun order(key: String): Comparator<String> = compareByDescending<String> { score(key, it) }.thenBy { it }

    /** FNV-1a over the UTF-16 code units of [text], continued from the hash [start]. */
    private fun fnv1a(start: Long, text: String): Long =
        text.fold(start) { hash, char -> (hash xor char.code.toLong()) * PRIME }

    /** Finalizer of MurmurHash3; without it the scores of names that differ in the last character are close. */
    private fun mix(hash: Long): Long {
        var mixed = (hash xor (hash ushr SHIFT)) * FIRST_MULTIPLIER
        mixed = (mixed xor (mixed ushr SHIFT)) * SECOND_MULTIPLIER
        return mixed xor (mixed ushr SHIFT)
    }
}
