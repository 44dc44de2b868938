package io.anvilvalve.core

import io.anvilvalve.api.id.LogOffset
import io.anvilvalve.api.peer.RecordBytes

/** The last applied log records, kept for peers that cannot read the log. */
internal class RecentRecords(private val maxBytes: Int = 1_000_000) {
    private val records = ArrayDeque<ByteArray>()
    private var first = LogOffset(0)
    private var bytes = 0

    fun add(offset: LogOffset, data: ByteArray) {
        if (records.isEmpty() || offset.value != first.value + records.size) {
            records.clear()
            bytes = 0
            first = offset
        }
        records.addLast(data)
        bytes += data.size
        while (bytes > maxBytes && records.size > 1) {
            bytes -= records.removeFirst().size
            first = first.next()
        }
    }

    /**
     * Returns the kept records from [from] on, up to [limit] bytes but at least one if there is any.
     *
     * Returns null when [from] is before the kept records or beyond the next offset.
     */
    fun from(from: LogOffset, limit: Int): List<RecordBytes>? {
        val start = (from.value - first.value).toInt()
        if (from < first || start > records.size) return null
        val result = ArrayList<RecordBytes>()
        var size = 0
        for (i in start until records.size) {
            size += records[i].size
            if (size > limit && result.isNotEmpty()) break
            result += RecordBytes(records[i])
        }
        return result
    }
}
