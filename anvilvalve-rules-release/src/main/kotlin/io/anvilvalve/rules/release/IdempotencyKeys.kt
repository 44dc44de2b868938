package io.anvilvalve.rules.release

import io.anvilvalve.api.result.ResultCode
import java.security.MessageDigest
import java.util.UUID
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes

/** Validation and hashing of the idempotency keys sent by callers. */
internal object IdempotencyKeys {
    /** Maximum assumed difference between the wall clocks of callers and hosts. */
    val MAX_CLOCK_SKEW: Duration = 5.minutes

    private const val MAX_KEY_LENGTH = 255
    private const val UUID_LENGTH = 36
    private const val UUID_V7_VERSION = 7
    private const val UUID_V7_TIMESTAMP_SHIFT = 16

    /** Returns the refusal code if the key is blank or too long, otherwise null. */
    fun formFault(key: String): ResultCode? = when {
        key.isBlank() -> ResultCode.IDEMPOTENCY_KEY_REQUIRED
        key.length > MAX_KEY_LENGTH -> ResultCode.MALFORMED_REQUEST
        else -> null
    }

    /**
     * Returns the refusal code if the key is a UUIDv7 that is older than [maxAge] or more than [MAX_CLOCK_SKEW] in the
     * future, otherwise null.
     *
     * A key with a future timestamp would still be valid after its claim has expired, so the call could run twice.
     */
    fun ageFault(key: String, wallMillis: Long, maxAge: Duration): ResultCode? {
        val age = (wallMillis - (uuidV7Millis(key) ?: return null)).milliseconds
        return when {
            age > maxAge -> ResultCode.IDEMPOTENCY_KEY_EXPIRED
            age < -MAX_CLOCK_SKEW -> ResultCode.MALFORMED_REQUEST
            else -> null
        }
    }

    /** Returns the SHA-256 over route and key in hexadecimal. */
    fun callKey(request: ClaimRequest): String = MessageDigest.getInstance("SHA-256")
        .digest("${request.route.value}\u0000${request.idempotencyKey}".toByteArray())
        .joinToString("") { "%02x".format(it) }

    private fun uuidV7Millis(key: String): Long? = key.takeIf { it.length == UUID_LENGTH }
        ?.let { runCatching { UUID.fromString(it) }.getOrNull() }
        ?.takeIf { it.version() == UUID_V7_VERSION }
        ?.let { it.mostSignificantBits ushr UUID_V7_TIMESTAMP_SHIFT }
}
