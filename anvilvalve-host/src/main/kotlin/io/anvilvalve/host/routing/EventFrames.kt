package io.anvilvalve.host.routing

import okio.Buffer
import okio.BufferedSource
import okio.ByteString.Companion.encodeUtf8
import java.io.IOException

/** Splits a stream of server-sent events into whole events, so that a broken stream relays no partial event. */
internal class EventFrames(private val source: BufferedSource) {
    /** Id of the last whole event that had one. */
    var lastId: String? = null
        private set

    /** Number of whole events read so far. */
    var count: Int = 0
        private set

    /**
     * Returns the next bytes to relay: whole events, or at the end of the stream the remaining bytes; null after it.
     *
     * @throws IOException when the stream breaks or an event has more than [MAX_EVENT_BYTES] bytes.
     */
    fun next(): ByteArray? {
        while (true) {
            val end = source.buffer.lastEventEnd()
            if (end > 0) return source.buffer.readByteArray(end).also(::updateLastId)
            val before = source.buffer.size
            if (before > MAX_EVENT_BYTES) throw IOException("an event exceeds $MAX_EVENT_BYTES bytes")
            if (!source.request(before + 1)) return if (before == 0L) null else source.readByteArray()
        }
    }

    private fun Buffer.lastEventEnd(): Long {
        var end = 0L
        while (true) {
            end = nextEventEnd(end) ?: return end
            count++
        }
    }

    /** An empty line ends an event; lines end with LF or CR LF. */
    private fun Buffer.nextEventEnd(from: Long): Long? =
        eventEnds.mapNotNull { end -> indexOf(end, from).takeIf { it >= 0 }?.let { it + end.size } }.minOrNull()

    private fun updateLastId(events: ByteArray) {
        val text = events.decodeToString()
        val at = text.lastIndexOf(ID_FIELD).takeIf { it == 0 || (it > 0 && text[it - 1] == '\n') } ?: return
        lastId = text.substring(at + ID_FIELD.length, text.indexOf('\n', at)).trim()
    }

    companion object {
        /** An event carries some tokens of an answer; a server in trouble may send bytes without an end of the event. */
        const val MAX_EVENT_BYTES = 256L * 1024

        private val eventEnds = listOf("\n\n".encodeUtf8(), "\n\r\n".encodeUtf8())
        private const val ID_FIELD = "id:"
    }
}
