package io.anvilvalve.net

import org.apache.hc.core5.http.ContentLengthStrategy
import org.apache.hc.core5.http.HttpHeaders
import org.apache.hc.core5.http.MalformedChunkCodingException
import org.apache.hc.core5.http.config.Http1Config
import org.apache.hc.core5.http.impl.DefaultContentLengthStrategy
import org.apache.hc.core5.http.impl.io.DefaultBHttpClientConnection
import org.apache.hc.core5.http.impl.io.SocketHolder
import org.apache.hc.core5.http.io.SessionInputBuffer
import org.apache.hc.core5.util.CharArrayBuffer
import java.io.EOFException
import java.io.FilterInputStream
import java.io.IOException
import java.io.InputStream
import java.net.Socket

/**
 * Reads one answer from a connected [socket].
 *
 * Stricter than the library in three respects: the head is bounded as a whole, an answer ends with its connection only if
 * it has neither a length nor chunks, and the size of a chunk has neither a sign nor a space in front.
 */
internal class AnswerConnection(socket: Socket) :
    DefaultBHttpClientConnection(config, null, null, framing, DefaultContentLengthStrategy.INSTANCE, null, null) {
    private val input = AnswerInput(socket.getInputStream())

    /** Whether the answer ends with its connection; known after the entity was received. */
    val endsWithConnection: Boolean get() = input.mayEnd

    init {
        bind(AnswerSocket(socket, input))
    }

    /** Lifts the limit on the head. */
    fun headEnded() {
        input.inHead = false
    }

    override fun createContentInputStream(length: Long, buffer: SessionInputBuffer, input: InputStream): InputStream {
        this.input.mayEnd = length == ContentLengthStrategy.UNDEFINED
        val lines = if (length == ContentLengthStrategy.CHUNKED) UnsignedSizes(buffer) else buffer
        return super.createContentInputStream(length, lines, input)
    }

    private class AnswerSocket(socket: Socket, private val input: InputStream) : SocketHolder(socket) {
        override fun getInputStream(socket: Socket): InputStream = input
    }

    private class AnswerInput(input: InputStream) : FilterInputStream(input) {
        /** Whether the end of the connection is the end of the answer. */
        var mayEnd = false
        var inHead = true
        private var headBytes = 0

        override fun read(): Int {
            val single = ByteArray(1)
            return if (read(single, 0, 1) < 0) -1 else single[0].toInt() and BYTE_MASK
        }

        override fun read(target: ByteArray, offset: Int, length: Int): Int {
            val count = super.read(target, offset, length)
            if (count < 0 && !mayEnd) throw EOFException("the connection ended before the answer")
            if (inHead) headBytes += maxOf(count, 0)
            if (headBytes > MAX_HEAD_BYTES) throw IOException("the head of the answer exceeds $MAX_HEAD_BYTES bytes")
            return count
        }
    }

    /** The library reads `-0` as the last chunk and accepts other sizes with a sign or with spaces in front. */
    private class UnsignedSizes(private val buffer: SessionInputBuffer) : SessionInputBuffer by buffer {
        override fun readLine(line: CharArrayBuffer, input: InputStream): Int {
            val count = buffer.readLine(line, input)
            if (!line.isEmpty() && line[0] in REFUSED_STARTS) {
                throw MalformedChunkCodingException("the size of a chunk starts with '${line[0]}'")
            }
            return count
        }
    }

    private companion object {
        const val BYTE_MASK = 0xFF
        const val REFUSED_STARTS = "+- \t"

        /** Interim answers count as part of the head. */
        const val MAX_HEAD_BYTES = 256 * 1024
        const val MAX_LINE_CHARACTERS = 16 * 1024

        val config: Http1Config = Http1Config.custom().setMaxLineLength(MAX_LINE_CHARACTERS).build()

        /** [FramingCheck] refuses malformed and contradictory values before. */
        val framing = ContentLengthStrategy { message ->
            when {
                message.containsHeader(HttpHeaders.TRANSFER_ENCODING) -> ContentLengthStrategy.CHUNKED

                else ->
                    message.getFirstHeader(HttpHeaders.CONTENT_LENGTH)?.value?.toLong()
                        ?: ContentLengthStrategy.UNDEFINED
            }
        }
    }
}
