package io.anvilvalve.host

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.raise.ensure
import io.anvilvalve.api.id.KeyHash
import io.anvilvalve.api.peer.WorkClass
import io.anvilvalve.api.result.ResultCode
import jakarta.servlet.http.HttpServletRequest

/** Validated headers of a caller's request. Only the hash of the API key is kept. */
internal class CallerHeaders(val key: KeyHash?, val workClass: WorkClass?, val idempotencyKey: String?) {
    companion object {
        private const val MAX_KEY_LENGTH = 512
        private const val MAX_IDEMPOTENCY_KEY_LENGTH = 255
        private const val BEARER_PREFIX = "Bearer "
        private val singleValuedHeaders = listOf(
            "Authorization",
            "Idempotency-Key",
            "X-Work-Class",
            "Content-Type",
            "Content-Length",
            "Content-Encoding",
            "Transfer-Encoding",
            "Host",
        )
        private val visibleAscii = '!'..'~'

        /**
         * Reads and validates the headers of [request].
         *
         * A repeated single-valued header is refused, because two HTTP implementations on the path may choose different
         * values.
         */
        fun of(request: HttpServletRequest): Either<Rejection, CallerHeaders> = either {
            singleValuedHeaders.forEach { name ->
                ensure(request.getHeaders(name).asSequence().count() <= 1) { malformed("$name is given twice.") }
            }
            ensure(request.getHeader("Content-Encoding") == null) { malformed("Content-Encoding is not supported.") }
            val idempotencyKey = request.getHeader("Idempotency-Key")
            ensure(idempotencyKey == null || isVisible(idempotencyKey, MAX_IDEMPOTENCY_KEY_LENGTH)) {
                malformed("Idempotency-Key must be 1 to $MAX_IDEMPOTENCY_KEY_LENGTH visible ASCII characters.")
            }
            CallerHeaders(key(request).bind(), workClass(request.getHeader("X-Work-Class")).bind(), idempotencyKey)
        }

        private fun key(request: HttpServletRequest): Either<Rejection, KeyHash?> = either {
            val header = request.getHeader("Authorization") ?: return@either null
            ensure(header.startsWith(BEARER_PREFIX, ignoreCase = true)) {
                Rejection(ResultCode.KEY_MISSING, "Authorization must be a bearer key.")
            }
            val key = header.substring(BEARER_PREFIX.length).trim()
            ensure(isVisible(key, MAX_KEY_LENGTH)) {
                Rejection(ResultCode.KEY_MISSING, "The key must be 1 to $MAX_KEY_LENGTH visible ASCII characters.")
            }
            KeyHash.of(key)
        }

        private fun workClass(value: String?): Either<Rejection, WorkClass?> = either {
            val workClass = WorkClass.entries.find { it.name.equals(value, ignoreCase = true) }
            ensure(value == null || workClass != null) { malformed("X-Work-Class must be interactive or batch.") }
            workClass
        }

        private fun isVisible(text: String, limit: Int) = text.length in 1..limit && text.all { it in visibleAscii }

        private fun malformed(detail: String) = Rejection(ResultCode.MALFORMED_REQUEST, detail)
    }
}
