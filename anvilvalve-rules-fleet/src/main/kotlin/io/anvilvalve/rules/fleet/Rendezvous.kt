package io.anvilvalve.rules.fleet

/** Hash functions for rendezvous hashing; their results are the same on every host. */
internal object Rendezvous {
    private const val FNV_OFFSET = -0x340d631b7bdddcdbL
    private const val FNV_PRIME = 0x100000001b3L
    private const val MIX_FIRST = -0x40a7b892e31b1a47L
    private const val MIX_SECOND = -0x6b2fb644ecceee15L
    private const val SHIFT_FIRST = 30
    private const val SHIFT_SECOND = 27
    private const val SHIFT_LAST = 31

    /** 64-bit hash of [name] and [number]. */
    fun weight(name: String, number: Long): Long {
        val hash = name.fold(FNV_OFFSET) { h, c -> (h xor c.code.toLong()) * FNV_PRIME }
        return mix(hash xor mix(number))
    }

    /** Finaliser of SplitMix64. */
    fun mix(value: Long): Long {
        var z = value
        z = (z xor (z ushr SHIFT_FIRST)) * MIX_FIRST
        z = (z xor (z ushr SHIFT_SECOND)) * MIX_SECOND
        return z xor (z ushr SHIFT_LAST)
    }
}
