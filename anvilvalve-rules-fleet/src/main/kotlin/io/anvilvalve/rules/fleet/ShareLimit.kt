package io.anvilvalve.rules.fleet

/** Refill rate and capacity of one share in micro-tokens. */
internal data class ShareLimit(val microsPerSecond: Long, val capMicros: Long) {
    /** Combines the lower rate and the lower capacity of the two limits. */
    fun lowest(other: ShareLimit): ShareLimit =
        ShareLimit(minOf(microsPerSecond, other.microsPerSecond), minOf(capMicros, other.capMicros))
}
