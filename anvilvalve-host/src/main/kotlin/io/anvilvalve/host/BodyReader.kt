package io.anvilvalve.host

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.right
import io.anvilvalve.api.result.ResultCode
import jakarta.servlet.http.HttpServletRequest
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.nio.ByteBuffer
import java.nio.charset.CharacterCodingException
import kotlin.time.Duration
import kotlin.time.TimeSource

/** Reads request bodies of at most [maxBytes]; a body must arrive completely within [timeout]. */
internal class BodyReader(private val maxBytes: Int, private val timeout: Duration, private val time: TimeSource) {
    /** Reads the complete body of [request]. */
    fun read(request: HttpServletRequest): Either<Rejection, ByteArray> = either {
        ensure(request.contentLengthLong <= maxBytes) { tooLarge() }
        val start = time.markNow()
        val body = ByteArrayOutputStream(maxOf(request.contentLength, 0))
        val buffer = ByteArray(BUFFER_BYTES)
        while (true) {
            val count = fill(request, buffer).bind()
            if (count < 0) break
            body.write(buffer, 0, count)
            ensure(body.size() <= maxBytes) { tooLarge() }
            ensure(start.elapsedNow() <= timeout) { Rejection(ResultCode.REQUEST_TIMEOUT) }
        }
        body.toByteArray()
    }

    /** Reads the complete body of [request] as UTF-8 text. */
    fun readText(request: HttpServletRequest): Either<Rejection, String> = either {
        val bytes = read(request).bind()
        try {
            Charsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString()
        } catch (_: CharacterCodingException) {
            raise(Rejection(ResultCode.MALFORMED_REQUEST, "The body is not UTF-8."))
        }
    }

    private fun fill(request: HttpServletRequest, buffer: ByteArray): Either<Rejection, Int> = try {
        request.inputStream.read(buffer).right()
    } catch (e: IOException) {
        val timedOut = generateSequence<Throwable>(e) { it.cause }.any { it is java.util.concurrent.TimeoutException }
        Rejection(
            if (timedOut) ResultCode.REQUEST_TIMEOUT else ResultCode.MALFORMED_REQUEST,
            "The body ended early.",
        ).left()
    }

    private fun tooLarge() = Rejection(ResultCode.BODY_TOO_LARGE, "The limit is $maxBytes bytes.")

    private companion object {
        const val BUFFER_BYTES = 16 * 1024
    }
}
