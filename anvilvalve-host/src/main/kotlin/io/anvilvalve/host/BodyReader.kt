package io.anvilvalve.host

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.Raise
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.right
import io.anvilvalve.api.result.ResultCode
import jakarta.servlet.ServletInputStream
import jakarta.servlet.http.HttpServletRequest
import org.eclipse.jetty.ee10.servlet.ServletContextRequest
import java.io.IOException
import java.nio.ByteBuffer
import java.nio.charset.CharacterCodingException
import java.util.concurrent.TimeoutException
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource

/** Reads request bodies of at most [maxBytes] into [budget]; a body must arrive completely within [timeout]. */
internal class BodyReader(
    private val maxBytes: Int,
    private val timeout: Duration,
    private val time: TimeSource.WithComparableMarks,
    private val budget: ByteBudget,
) {
    /** Reads the complete body of [request] within [limit], if that is shorter than the time-out of the reader. */
    fun read(request: HttpServletRequest, limit: Duration = timeout): Either<Rejection, ReceivedBody> = either {
        ensure(request.contentLengthLong <= maxBytes) { tooLarge() }
        val deadline = time.markNow() + minOf(limit, timeout)
        val holding = budget.open { abandon(request) }
        var complete = false
        try {
            val body = Body(request, holding, deadline)
            if (request.hasBody) with(body) { fill() }
            ReceivedBody(body.toByteArray(), holding).also { complete = true }
        } finally {
            if (complete) holding.endBody() else holding.close()
        }
    }

    /** Reads the complete body of [request] as UTF-8 text and passes it to [use], which decodes it. */
    fun <T> readText(request: HttpServletRequest, use: (String) -> Either<Rejection, T>): Either<Rejection, T> =
        either {
            read(request).bind().use { body ->
                val text = try {
                    Charsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(body.bytes)).toString()
                } catch (_: CharacterCodingException) {
                    raise(Rejection(ResultCode.MALFORMED_REQUEST, "The body is not UTF-8."))
                }
                use(text).bind()
            }
        }

    /** Ends the wait for the body as an idle time-out does, so that the thread that reads can still answer. */
    private fun abandon(request: HttpServletRequest) {
        val connection = ServletContextRequest.getServletContextRequest(request).connectionMetaData.connection
        connection.onIdleExpired(TimeoutException("The body arrives too slowly."))
    }

    /** Body that grows with the bytes that have arrived, whatever length the caller claims. */
    private inner class Body(
        request: HttpServletRequest,
        private val holding: ByteBudget.Holding,
        private val deadline: ComparableTimeMark,
    ) {
        private val input: ServletInputStream = request.inputStream
        private val claimed = request.contentLength
        private var bytes = ByteArray(0)
        private var size = 0
        private var isAwaited = false

        fun toByteArray(): ByteArray = if (size == bytes.size) bytes else bytes.copyOf(size)

        fun Raise<Rejection>.fill() {
            while (!input.isFinished) {
                if (size != claimed) awaitInput()
                if (size == claimed || size == maxBytes) {
                    ensure(read { input.read() }.bind() < 0) { tooLarge() }
                    break
                }
                if (size == bytes.size) grow()
                val count = read { input.read(bytes, size, bytes.size - size) }.bind()
                if (count < 0) break
                size += count
                holding.received(count)
                ensure(!deadline.hasPassedNow()) { Rejection(ResultCode.REQUEST_TIMEOUT) }
            }
        }

        /** A body that has arrived with its header is read without a place among those that are waited for. */
        private fun Raise<Rejection>.awaitInput() {
            if (isAwaited || input.isFinished || read { input.available() }.bind() > 0) return
            isAwaited = true
            ensure(input.isFinished || holding.awaitBody(deadline)) { noRoom() }
        }

        private fun Raise<Rejection>.grow() {
            val most = if (claimed >= 0) claimed else maxBytes
            val capacity = minOf(most, maxOf(MIN_BYTES, bytes.size * 2))
            ensure(holding.reserve(capacity - bytes.size)) { noRoom() }
            bytes = bytes.copyOf(capacity)
        }
    }

    private fun read(operation: () -> Int): Either<Rejection, Int> = try {
        operation().right()
    } catch (e: IOException) {
        val timedOut = generateSequence<Throwable>(e) { it.cause }.any { it is TimeoutException }
        Rejection(
            if (timedOut) ResultCode.REQUEST_TIMEOUT else ResultCode.MALFORMED_REQUEST,
            "The body ended early.",
        ).left()
    }

    private fun tooLarge() = Rejection(ResultCode.BODY_TOO_LARGE, "The limit is $maxBytes bytes.")

    private fun noRoom() = Rejection(ResultCode.NO_BACKEND_SERVER, "This host has no room for the body.")

    private companion object {
        const val MIN_BYTES = 16 * 1024
    }
}

/** Whether a body follows the header of the request. */
internal val HttpServletRequest.hasBody: Boolean
    get() = contentLengthLong > 0 || getHeader("Transfer-Encoding") != null
