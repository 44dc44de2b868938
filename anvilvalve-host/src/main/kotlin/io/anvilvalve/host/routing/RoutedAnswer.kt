package io.anvilvalve.host.routing

import io.anvilvalve.api.result.ResultCode
import io.anvilvalve.host.errorBody
import io.anvilvalve.host.sendBody
import jakarta.servlet.http.HttpServletResponse
import okhttp3.Headers
import java.util.Locale
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** A whole answer of a backend server that has been read but not relayed. */
internal class BufferedAnswer(val status: Int, val head: Headers, val body: ByteArray)

/** The answer to a caller; used by the thread of the request only. */
internal class RoutedAnswer(private val response: HttpServletResponse, private val draining: () -> Boolean) {
    /** Whether the status has been sent. */
    var started = false
        private set

    /** Sends the head of a streamed answer. */
    fun sendHead(status: Int, head: Headers) {
        started = true
        setHead(status, head)
    }

    /** Sends the next part of a streamed answer. */
    fun write(bytes: ByteArray) {
        response.outputStream.write(bytes)
        response.outputStream.flush()
    }

    /** Relays a whole answer unchanged. */
    fun sendWhole(answer: BufferedAnswer) {
        started = true
        setHead(answer.status, answer.head)
        if (answer.body.isNotEmpty() || answer.status !in BODILESS_STATUSES) response.setContentLength(answer.body.size)
        response.outputStream.write(answer.body)
        response.outputStream.flush()
    }

    /** Says that the request has not run, and when the caller may return. */
    fun refuse(code: ResultCode, retryAfter: Duration?) {
        started = true
        response.status = code.httpStatus
        retryAfter?.let { response.setHeader("Retry-After", formatSeconds(it)) }
        closeWhenDraining()
        response.sendBody(JSON, code.errorBody().toByteArray())
    }

    /** Says that the request failed and may have run. */
    fun fail(code: ResultCode) {
        started = true
        response.status = code.httpStatus
        closeWhenDraining()
        response.sendBody(JSON, code.errorBody().toByteArray())
    }

    private fun setHead(status: Int, head: Headers) {
        // The server sets a content type of its own, which must not stand beside that of the backend server.
        response.reset()
        response.status = status
        head.forEach { (name, value) -> response.addHeader(name, value) }
        closeWhenDraining()
    }

    private fun closeWhenDraining() {
        if (draining()) response.setHeader("Connection", "close")
    }

    /** Fractions of a second are allowed, and a caller must not return before the time. */
    private fun formatSeconds(wait: Duration): String =
        String.format(Locale.ROOT, "%.2f", wait.toDouble(DurationUnit.SECONDS))

    private companion object {
        const val JSON = "application/json"
        val BODILESS_STATUSES = setOf(204, 304)
    }
}
