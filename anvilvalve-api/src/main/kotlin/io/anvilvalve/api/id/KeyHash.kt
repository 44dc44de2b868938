package io.anvilvalve.api.id

import kotlinx.serialization.Serializable
import java.security.MessageDigest

/** Lower-case hexadecimal SHA-256 of a caller's key; the key itself is never stored. */
@JvmInline
@Serializable
value class KeyHash(val hex: String) {
    /** Compares in time that does not depend on where the hashes differ. */
    fun matches(other: KeyHash): Boolean = MessageDigest.isEqual(hex.toByteArray(), other.hex.toByteArray())

    override fun toString(): String = hex.take(SHOWN_DIGITS)

    companion object {
        private const val SHOWN_DIGITS = 8

        /** Hashes the [key] that a caller presented. */
        fun of(key: String): KeyHash = KeyHash(
            MessageDigest.getInstance("SHA-256").digest(key.toByteArray()).joinToString("") { "%02x".format(it) },
        )
    }
}
