package io.anvilvalve.api.routing

/**
 * Position in a topic of the store.
 *
 * @property era number of times that the store has come back from an older copy. Offsets are given out again after that,
 * so those of two eras cannot be compared.
 * @property offset number of a record in its topic, or -1 before the first.
 */
data class StorePosition(val era: Long, val offset: Long) : Comparable<StorePosition> {
    override fun compareTo(other: StorePosition): Int = compareValuesBy(this, other, { it.era }, { it.offset })

    override fun toString(): String = "$era:$offset"

    companion object {
        /** Precedes all records. */
        val NONE: StorePosition = StorePosition(era = 0, offset = -1)
    }
}
