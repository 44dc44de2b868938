package io.anvilvalve.net

import org.apache.hc.core5.http.ContentLengthStrategy
import org.apache.hc.core5.http.HttpHeaders
import org.apache.hc.core5.http.MalformedChunkCodingException
import org.apache.hc.core5.http.config.Http1Config
import org.apache.hc.core5.http.impl.DefaultContentLengthStrategy
import org.apache.hc.core5.http.impl.io.ChunkedInputStream
import org.apache.hc.core5.http.impl.io.DefaultBHttpClientConnection
import org.apache.hc.core5.http.impl.io.DefaultHttpResponseParserFactory
import org.apache.hc.core5.http.impl.io.SocketHolder
import org.apache.hc.core5.http.io.SessionInputBuffer
import org.apache.hc.core5.util.CharArrayBuffer
import java.io.EOFException
import java.io.FilterInputStream
import java.io.FilterOutputStream
import java.io.IOException
import java.io.InputStream
import java.io.OutputStream
import java.net.Socket

/**
 * Sends requests to a connected [socket] and reads their answers, one after the other.
 *
 * Stricter than the library in three respects: the head is bounded as a whole, an answer ends with its connection only if
 * it has neither a length nor chunks and the connection was not reset, and the size of a chunk has neither a sign nor a
 * space in front.
 */
internal class AnswerConnection(socket: Socket) :
    DefaultBHttpClientConnection(config, null, null, framing, DefaultContentLengthStrategy.INSTANCE, null, parsers) {
    private val input = AnswerInput(socket.getInputStream())
    private val output = RequestOutput(socket.getOutputStream(), input) { isAnsweredEarly = true }

    /** Bytes that were received; null before the body of an answer is read. */
    private var received: SessionInputBuffer? = null
    private var body: BodyInput? = null

    /** Whether bytes of an answer had arrived before the last part of the request was sent. */
    var isAnsweredEarly = false
        private set

    /** Whether the body of the present answer was read to its end, and no byte behind it was received with it. */
    val isAnswerRead: Boolean get() = body?.hasEnded == true && received?.length() == 0

    /** Whether the answer ends with its connection; known after the entity was received. */
    val endsWithConnection: Boolean get() = input.mayEnd

    init {
        bind(AnswerSocket(socket, input, output))
    }

    /** Prepares for the next request and its answer. */
    fun beginExchange() {
        isAnsweredEarly = false
        body = null
        input.beginAnswer()
    }

    /** Lifts the limit on the head. */
    fun headEnded() {
        input.inHead = false
    }

    override fun createContentInputStream(length: Long, buffer: SessionInputBuffer, input: InputStream): InputStream {
        this.input.mayEnd = length == ContentLengthStrategy.UNDEFINED
        received = buffer
        val lines = if (length == ContentLengthStrategy.CHUNKED) UnsignedSizes(buffer) else buffer
        return BodyInput(super.createContentInputStream(length, lines, input)).also { body = it }
    }

    private class AnswerSocket(socket: Socket, private val input: InputStream, private val output: OutputStream) :
        SocketHolder(socket) {
        override fun getInputStream(socket: Socket): InputStream = input

        override fun getOutputStream(socket: Socket): OutputStream = output
    }

    /** Notes the end of a body, and checks the names of the headers behind its last chunk. */
    private class BodyInput(private val input: InputStream) : FilterInputStream(input) {
        var hasEnded = false
            private set

        override fun read(): Int = super.read().also { if (it < 0) end() }

        override fun read(target: ByteArray, offset: Int, length: Int): Int =
            super.read(target, offset, length).also { if (it < 0) end() }

        private fun end() {
            val trailers = (input as? ChunkedInputStream)?.footers.orEmpty()
            trailers.find { !HeadCheck.isName(it.name) }?.let {
                throw MalformedChunkCodingException(
                    "the name '${HeadCheck.visible(it.name)}' of a trailer is malformed",
                )
            }
            hasEnded = true
        }
    }

    /** Writes in pieces, because the runtime keeps a native buffer of the size of the largest write for each thread. */
    private class RequestOutput(
        output: OutputStream,
        private val input: AnswerInput,
        private val onAnsweredEarly: () -> Unit,
    ) : FilterOutputStream(output) {
        override fun write(bytes: ByteArray, offset: Int, length: Int) = try {
            for (start in offset until offset + length step WRITE_BYTES) {
                if (input.available() > 0) onAnsweredEarly()
                out.write(bytes, start, minOf(WRITE_BYTES, offset + length - start))
            }
        } catch (e: IOException) {
            input.writeFailed(e)
            throw e
        }
    }

    private class AnswerInput(input: InputStream) : FilterInputStream(input) {
        /** Whether the end of the connection is the end of the answer. */
        var mayEnd = false
        var inHead = true
        private var headBytes = 0

        /** Failure of a write that may have been the reset of the connection; null if there is none. */
        private var reset: IOException? = null

        /**
         * Notes the failure of a write to the same connection. The system reports a reset once, to the first call that
         * meets it, so a read after this write would see a plain end. The write fails with a broken pipe instead if the
         * server had ended its side before.
         */
        fun writeFailed(e: IOException) {
            if (!e.message.orEmpty().startsWith(BROKEN_PIPE)) reset = reset ?: e
        }

        fun beginAnswer() {
            mayEnd = false
            inHead = true
            headBytes = 0
        }

        override fun read(): Int {
            val single = ByteArray(1)
            return if (read(single, 0, 1) < 0) -1 else single[0].toInt() and BYTE_MASK
        }

        override fun read(target: ByteArray, offset: Int, length: Int): Int {
            val count = super.read(target, offset, length)
            if (count < 0) checkEnd()
            if (inHead) headBytes += maxOf(count, 0)
            if (headBytes > MAX_HEAD_BYTES) throw IOException("the head of the answer exceeds $MAX_HEAD_BYTES bytes")
            return count
        }

        private fun checkEnd() {
            if (!mayEnd) throw EOFException("the connection ended before the answer")
            reset?.let { throw IOException("the connection was reset before the answer ended", it) }
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
        const val WRITE_BYTES = 32 * 1024

        /** Message of the system's error EPIPE. */
        const val BROKEN_PIPE = "Broken pipe"
        const val REFUSED_STARTS = "+- \t"

        /** Interim answers count as part of the head. */
        const val MAX_HEAD_BYTES = 256 * 1024
        const val MAX_LINE_CHARACTERS = 16 * 1024

        val config: Http1Config = Http1Config.custom().setMaxLineLength(MAX_LINE_CHARACTERS).build()
        val parsers = DefaultHttpResponseParserFactory(config, AnswerLineParser, null)

        /** [HeadCheck] refuses malformed and contradictory values before. */
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
