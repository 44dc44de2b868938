package io.anvilvalve.bench.policy

/** Link of a worker for KV transfers, one at a time. */
internal class Link(val bytesPerSecond: Long) {
    private var freeAt = 0L

    companion object {
        /** Books a transfer over both links from [now] on and returns its end. */
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
