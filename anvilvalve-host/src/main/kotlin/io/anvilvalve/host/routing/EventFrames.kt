package io.anvilvalve.host.routing

import okio.Buffer
import okio.BufferedSource
import okio.ByteString.Companion.encodeUtf8
import java.io.EOFException
import java.io.IOException

/**
 * Splits a stream of server-sent events into whole events, so that a broken stream relays no partial event.
 *
 * @param endsWithConnection whether only the end of the connection ends the stream, so that a break looks like an end.
 */
internal class EventFrames(private val source: BufferedSource, private val endsWithConnection: Boolean = false) {
    private val buffer = source.buffer

    /** Offset in the buffer of the first line that has not ended. */
    private var lineStart = 0L

    /** Offset in the buffer before which all ends of lines have been found. */
    private var searched = 0L

    /** Whether the byte before [lineStart] is a CR, which a LF may still follow. */
    private var afterCarriageReturn = false

    /** Whether a CR LF has ended a line. */
    private var usesCarriageReturnLineFeed = false

    /** Whether a field has been read since the last empty line. */
    private var insideEvent = false

    private var eventId: String? = null

    /** Id of the last whole event; null if it has none that a header can carry. */
    var lastId: String? = null
        private set

    /** Number of whole events read so far. */
    var count: Int = 0
        private set

    /**
     * Returns the next bytes to relay: whole events, or at the end of the stream comments and empty lines; null after it.
     *
     * @throws IOException when the stream breaks, ends inside an event, has an event of over [MAX_EVENT_BYTES] bytes, or
     * ends inside any line together with its connection.
     */
    fun next(): ByteArray? {
        while (true) {
            val end = lastEventEnd()
            if (end > 0) return take(end)
            val before = buffer.size
            if (before > MAX_EVENT_BYTES) throw IOException("an event exceeds $MAX_EVENT_BYTES bytes")
            if (!source.request(before + 1)) {
                if (endsInsideEvent()) throw EOFException("the stream ended inside an event")
                if (endsWithConnection && endsInsideLine()) throw EOFException("the stream ended inside a line")
                return if (before == 0L) null else take(before)
            }
        }
    }

    /** Reads the lines that have arrived; returns the end of the last empty one, or 0. */
    private fun lastEventEnd(): Long {
        var eventEnd = 0L
        skipLineFeed()
        while (true) {
            val lineEnd = buffer.indexOfElement(lineEnds, maxOf(lineStart, searched))
            if (lineEnd < 0) break
            val isEmpty = lineEnd == lineStart
            if (!isEmpty) readLine(lineStart, lineEnd)
            lineStart = lineEnd + 1
            afterCarriageReturn = buffer[lineEnd] == CARRIAGE_RETURN
            skipLineFeed()
            if (isEmpty) {
                endEvent()
                eventEnd = lineStart
            }
        }
        searched = buffer.size
        return eventEnd
    }

    /** Skips the LF of a CR LF as soon as it has arrived; a CR alone also ends a line. */
    private fun skipLineFeed() {
        if (!afterCarriageReturn || lineStart == buffer.size) return
        if (buffer[lineStart] == LINE_FEED) {
            lineStart++
            usesCarriageReturnLineFeed = true
        }
        afterCarriageReturn = false
    }

    private fun readLine(start: Long, end: Long) {
        if (buffer[start] == COMMENT) return
        insideEvent = true
        if (!buffer.rangeEquals(start, idField)) return
        val value = Buffer().also { buffer.copyTo(it, start + idField.size, end - start - idField.size) }.readUtf8()
        eventId =
            value.removePrefix(" ").takeIf { id -> id.isNotEmpty() && id == id.trim() && id.all { it in ' '..'~' } }
    }

    private fun endEvent() {
        if (insideEvent) {
            count++
            lastId = eventId
        }
        insideEvent = false
        eventId = null
    }

    private fun endsInsideEvent() = insideEvent || (lineStart < buffer.size && buffer[lineStart] != COMMENT)

    private fun endsInsideLine() = lineStart < buffer.size || (afterCarriageReturn && usesCarriageReturnLineFeed)

    private fun take(bytes: Long): ByteArray {
        lineStart = maxOf(lineStart - bytes, 0)
        searched -= bytes
        return buffer.readByteArray(bytes)
    }

    companion object {
        /** An event carries some tokens of an answer; a server in trouble may send bytes without an end of the event. */
        const val MAX_EVENT_BYTES = 256L * 1024

        private const val CARRIAGE_RETURN = '\r'.code.toByte()
        private const val LINE_FEED = '\n'.code.toByte()
        private const val COMMENT = ':'.code.toByte()
        private val lineEnds = "\r\n".encodeUtf8()
        private val idField = "id:".encodeUtf8()
    }
}
