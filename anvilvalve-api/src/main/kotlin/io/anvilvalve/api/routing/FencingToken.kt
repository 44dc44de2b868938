package io.anvilvalve.api.routing

/** Entitles its holder to give orders until a higher token is acquired; [position] follows its record in the store. */
@JvmInline
value class FencingToken(val position: StorePosition) : Comparable<FencingToken> {
    /** Number that backend servers compare; rises with every token, also after a restore of the store. */
    val number: Long get() = position.era * NUMBERS_PER_ERA + position.offset

    override fun compareTo(other: FencingToken): Int = position.compareTo(other.position)

    override fun toString(): String = "$number"

    private companion object {
        /** More tokens than a restore of the store can lose. */
        const val NUMBERS_PER_ERA = 1L shl 20
    }
}
