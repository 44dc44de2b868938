package io.anvilvalve.api.id

import kotlinx.serialization.Serializable

/** Count of accepted release notes; 0 is before the first note. */
@JvmInline
@Serializable
value class ReleaseNumber(val value: Long) : Comparable<ReleaseNumber> {
    override fun compareTo(other: ReleaseNumber): Int = value.compareTo(other.value)

    /** Returns the number of the next release. */
    fun next(): ReleaseNumber = ReleaseNumber(value + 1)

    override fun toString(): String = value.toString()
}
