package io.anvilvalve.host.routing

import io.anvilvalve.api.result.ResultCode
import io.anvilvalve.host.ByteBudget
import io.anvilvalve.host.errorBody
import io.anvilvalve.host.sendBody
import jakarta.servlet.http.HttpServletResponse
import okhttp3.Headers
import java.util.Locale
import kotlin.time.Duration
import kotlin.time.DurationUnit

/**
 * A complete answer of a backend server, held in memory before it is relayed.
 *
 * @property length length in bytes that the head states; null if it states none. An answer to HEAD has a length and no
 * body.
 */
internal class BufferedAnswer(val status: Int, val head: Headers, val body: ByteArray, val length: Long?)

/**
 * Writes the answer to a caller; used only by the thread of the request.
 *
 * @param holding charged with what is held of the answer; null if nothing limits it.
 * @param writeLimit time in which the caller must take each part that is written.
 */
internal class RoutedAnswer(
    private val response: HttpServletResponse,
    private val holding: ByteBudget.Holding? = null,
    private val writeLimit: Duration = Duration.INFINITE,
    private val draining: () -> Boolean,
) {
    /** Whether the status has been sent. */
    var started = false
        private set

    /** Charges [bytes] of an answer that is held before it is sent; returns false if there is no room for them. */
    fun hold(bytes: Int): Boolean = holding == null || holding.reserve(bytes)

    /** Sends the head of a streamed answer. */
    fun sendHead(status: Int, head: Headers) {
        started = true
        setHead(status, head)
        // Without it, the HTTP server ends a stream on a connection that it closes only with this connection.
        response.setHeader("Transfer-Encoding", "chunked")
    }

    /** Sends the next part of a streamed answer. */
    fun write(bytes: ByteArray) = limited {
        response.outputStream.write(bytes)
        response.outputStream.flush()
    }

    /** Relays a complete answer unchanged. */
    fun sendWhole(answer: BufferedAnswer) {
        started = true
        setHead(answer.status, answer.head)
        answer.length?.let(response::setContentLengthLong)
        limited {
            // The runtime keeps a native buffer of the size of the largest write for each thread.
            for (start in answer.body.indices step WRITE_BYTES) {
                response.outputStream.write(answer.body, start, minOf(WRITE_BYTES, answer.body.size - start))
            }
            response.outputStream.flush()
        }
    }

    /** Answers that the request was not executed, and after which time the caller may retry. */
    fun refuse(code: ResultCode, retryAfter: Duration?) {
        started = true
        response.status = code.httpStatus
        retryAfter?.let { response.setHeader("Retry-After", formatSeconds(it)) }
        closeWhenDraining()
        limited { response.sendBody(JSON, code.errorBody().toByteArray()) }
    }

    /** Answers that the request failed and may have been executed. */
    fun fail(code: ResultCode) {
        started = true
        response.status = code.httpStatus
        closeWhenDraining()
        limited { response.sendBody(JSON, code.errorBody().toByteArray()) }
    }

    private inline fun limited(write: () -> Unit) {
        if (holding == null) write() else holding.whileWriting(writeLimit, write)
    }

    private fun setHead(status: Int, head: Headers) {
        // The HTTP server sets a default content type, which must not be sent next to that of the backend server.
        response.reset()
        response.status = status
        head.forEach { (name, value) -> response.addHeader(name, value) }
        closeWhenDraining()
    }

    private fun closeWhenDraining() {
        if (draining()) response.setHeader("Connection", "close")
    }

    /** Keeps fractions of a second, which are allowed, because a caller must not retry before the wait has passed. */
    private fun formatSeconds(wait: Duration): String =
        String.format(Locale.ROOT, "%.2f", wait.toDouble(DurationUnit.SECONDS))

    private companion object {
        const val JSON = "application/json"
        const val WRITE_BYTES = 32 * 1024
    }
}
