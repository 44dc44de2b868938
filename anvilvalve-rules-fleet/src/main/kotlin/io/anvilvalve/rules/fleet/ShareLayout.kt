package io.anvilvalve.rules.fleet

import io.anvilvalve.api.release.Organisation

/**
 * Division of an organisation's limits into equal shares, and the assignment of the shares to slots.
 *
 * The slots of one organisation are evenly spaced from a hashed start. Its shares are thus on different slots, and a
 * share keeps its slot when the number of shares changes.
 */
internal class ShareLayout(val organisation: Organisation, slots: Int, maxShares: Int) {
    val count: Int = (organisation.burst / TOKENS_PER_SHARE).coerceIn(1, minOf(maxShares, slots).toLong()).toInt()

    /** Slot of each share, by share index. */
    val slots: List<Int> = run {
        val first = Rendezvous.weight(organisation.id.value, 0).mod(slots)
        val step = maxOf(1, slots / maxShares)
        List(count) { (first + it * step) % slots }
    }

    val limit: ShareLimit = ShareLimit(
        microsPerSecond = Math.multiplyExact(organisation.rate, MICROS) / count,
        capMicros = Math.multiplyExact(organisation.burst, MICROS) / count,
    )

    companion object {
        /** Micro-tokens per token. */
        const val MICROS = 1_000_000L
        private const val TOKENS_PER_SHARE = 16_384L
    }
}
