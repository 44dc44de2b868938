package io.anvilvalve.net

import okio.BufferedSource
import java.io.EOFException
import java.io.IOException

/**
 * Reads server-sent events from a stream, one at a time, without buffering the whole stream or waiting
 * for data after an event.
 *
 * Lines end with LF or CR LF. Comments and fields other than `data` are skipped. An event without its final blank line
 * is dropped at the end of the stream, because its data may be incomplete.
 *
 * @param limit upper bound on a line in bytes and on the data of an event in characters.
 */
internal class SseReader(private val source: BufferedSource, private val limit: Long = MAX_EVENT_BYTES) {
    /** Returns the data of the next event, or null at the end; throws [IOException] on an event over [limit]. */
    fun next(): String? {
        var data: String? = null
        while (true) {
            val line = nextLine() ?: return null
            if (line.isEmpty()) {
                if (data != null) return data
                continue
            }
            val value = line.dataField() ?: continue
            data = if (data == null) value else "$data\n$value"
            if (data.length > limit) throw IOException("event exceeds $limit bytes")
        }
    }

    private fun nextLine(): String? = try {
        source.readUtf8LineStrict(limit)
    } catch (e: EOFException) {
        if (source.buffer.size > limit) throw IOException("line exceeds $limit bytes", e)
        null
    }

    private fun String.dataField(): String? = when {
        startsWith("data: ") -> substring("data: ".length)
        startsWith("data:") -> substring("data:".length)
        this == "data" -> ""
        else -> null
    }

    private companion object {
        const val MAX_EVENT_BYTES = 64L * 1024
    }
}
