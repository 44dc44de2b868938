package io.anvilvalve.rules.release

import io.anvilvalve.api.id.LogOffset
import io.anvilvalve.api.log.LogRecord
import java.security.MessageDigest

/**
 * Splits snapshots into log records and reassembles them.
 *
 * Chunks of several snapshots may be interleaved, duplicated, missing or damaged; only a snapshot whose SHA-256 matches
 * is returned. An instance must be used by one reader only.
 */
class SnapshotCodec {
    /** A complete snapshot: the encoded state up to and including offset [covered]. */
    class Snapshot(val covered: LogOffset, val bytes: ByteArray)

    private val partial = LinkedHashMap<String, PartialSnapshot>()

    /** Number of ignored chunks by reason. */
    val ignored: Map<IgnoredChunk, Int> get() = ignoredCounts
    private val ignoredCounts = sortedMapOf<IgnoredChunk, Int>()

    /** Returns the records that carry the snapshot [id]; each holds at most [MAX_CHUNK_BYTES] bytes of it. */
    fun split(id: String, covered: LogOffset, bytes: ByteArray): List<LogRecord.SnapshotChunk> {
        val count = maxOf(1, (bytes.size + MAX_CHUNK_BYTES - 1) / MAX_CHUNK_BYTES)
        require(count <= MAX_CHUNKS) { "snapshot of ${bytes.size} bytes needs $count chunks; the limit is $MAX_CHUNKS" }
        val sha256 = sha256(bytes)
        return List(count) { index ->
            val from = index * MAX_CHUNK_BYTES
            val data = bytes.copyOfRange(from, minOf(bytes.size, from + MAX_CHUNK_BYTES))
            LogRecord.SnapshotChunk(id, covered, index, count, sha256, data)
        }
    }

    /** Adds the next chunk in log order; returns the snapshot that it completes, if any. */
    fun offer(chunk: LogRecord.SnapshotChunk): Snapshot? {
        if (!isPlausible(chunk)) return ignore(IgnoredChunk.MALFORMED)
        val snapshot = partial.getOrPut(chunk.id) { PartialSnapshot(chunk) }
        if (!snapshot.matches(chunk)) return ignore(IgnoredChunk.CONTRADICTORY)
        if (!snapshot.add(chunk)) return ignore(IgnoredChunk.DOUBLED)
        evictOldest()
        if (!snapshot.isComplete) return null
        partial.remove(chunk.id)
        val bytes = snapshot.bytes()
        return if (sha256(bytes) == chunk.sha256) Snapshot(chunk.covered, bytes) else ignore(IgnoredChunk.DAMAGED)
    }

    private fun isPlausible(chunk: LogRecord.SnapshotChunk): Boolean =
        chunk.count in 1..MAX_CHUNKS && chunk.index in 0 until chunk.count && chunk.data.size <= MAX_CHUNK_BYTES

    private fun ignore(reason: IgnoredChunk): Snapshot? {
        ignoredCounts.merge(reason, 1, Int::plus)
        return null
    }

    /** Evicts the oldest incomplete snapshots to bound memory use. */
    private fun evictOldest() {
        while (partial.size > MAX_PARTIAL_SNAPSHOTS || partial.values.sumOf { it.size } > MAX_PARTIAL_BYTES) {
            if (partial.size == 1) return
            partial.remove(partial.keys.first())
            ignore(IgnoredChunk.INCOMPLETE)
        }
    }

    private fun sha256(bytes: ByteArray): String =
        MessageDigest.getInstance("SHA-256").digest(bytes).joinToString("") { "%02x".format(it) }

    private class PartialSnapshot(private val first: LogRecord.SnapshotChunk) {
        private val parts = arrayOfNulls<ByteArray>(first.count)
        private var missing = first.count
        var size = 0L
            private set

        val isComplete: Boolean get() = missing == 0

        fun matches(chunk: LogRecord.SnapshotChunk): Boolean =
            chunk.count == first.count && chunk.covered == first.covered && chunk.sha256 == first.sha256

        /** Adds the chunk; returns false if a chunk with its index is already present. */
        fun add(chunk: LogRecord.SnapshotChunk): Boolean {
            if (parts[chunk.index] != null) return false
            parts[chunk.index] = chunk.data
            missing--
            size += chunk.data.size
            return true
        }

        fun bytes(): ByteArray {
            val whole = ByteArray(size.toInt())
            var position = 0
            parts.filterNotNull().forEach {
                it.copyInto(whole, position)
                position += it.size
            }
            return whole
        }
    }

    companion object {
        /** Upper bound on the snapshot data in one record in bytes; four records fit into a peer's reply of 256 KB. */
        const val MAX_CHUNK_BYTES: Int = 60 * 1024

        private const val MAX_CHUNKS = 4_096
        private const val MAX_PARTIAL_SNAPSHOTS = 4
        private const val MAX_PARTIAL_BYTES = 64L * 1024 * 1024
    }
}
