package io.anvilvalve.bench.policy

/** Network link of a worker, which carries one KV transfer at a time. */
internal class Link(val bytesPerSecond: Long) {
    private var freeAt = 0L

    companion object {
        /** Reserves both links for a transfer that starts at [now] or later, and returns its end in microseconds. */
        fun reserve(from: Link, to: Link, bytes: Long, now: Long): Long {
            val start = maxOf(now, from.freeAt, to.freeAt)
            val rate = minOf(from.bytesPerSecond, to.bytesPerSecond)
            val end = start + (bytes * MICROS_PER_SECOND / rate).toLong()
            from.freeAt = end
            to.freeAt = end
            return end
        }
    }
}
