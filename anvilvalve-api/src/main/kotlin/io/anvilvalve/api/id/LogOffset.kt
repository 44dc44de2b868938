package io.anvilvalve.api.id

import kotlinx.serialization.Serializable

/** Position of a record in the log; -1 is before the first record. */
@JvmInline
@Serializable
value class LogOffset(val value: Long) : Comparable<LogOffset> {
    override fun compareTo(other: LogOffset): Int = value.compareTo(other.value)

    /** Returns the position that follows this one. */
    fun next(): LogOffset = LogOffset(value + 1)

    override fun toString(): String = value.toString()
}
