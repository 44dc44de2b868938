package io.anvilvalve.net

import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.writeByteArray
import java.security.MessageDigest
import java.security.SecureRandom
import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/**
 * Mutual proof that both ends of a connection know the shared [secret].
 *
 * The dialling end sends a nonce, the listening end answers with its nonce and proof, and the dialling end closes with
 * its proof. A proof is HMAC-SHA-256 over the role and both nonces; the role keeps a proof from being sent back.
 */
internal class PeerHandshake(secret: ByteArray, private val random: SecureRandom = SecureRandom()) {
    private val key = SecretKeySpec(secret, ALGORITHM)

    /** Plays the dialling end; returns whether the other end proved itself. */
    suspend fun dial(input: ByteReadChannel, output: ByteWriteChannel): Boolean {
        val own = nonce()
        output.writeByteArray(MAGIC + own)
        output.flush()
        val theirs = input.readByteArray(NONCE_BYTES)
        val proof = input.readByteArray(PROOF_BYTES)
        if (!MessageDigest.isEqual(proof, prove(LISTENER, own, theirs))) return false
        output.writeByteArray(prove(DIALLER, own, theirs))
        output.flush()
        return true
    }

    /** Plays the listening end; returns whether the other end proved itself. */
    suspend fun listen(input: ByteReadChannel, output: ByteWriteChannel): Boolean {
        if (!input.readByteArray(MAGIC.size).contentEquals(MAGIC)) return false
        val theirs = input.readByteArray(NONCE_BYTES)
        val own = nonce()
        output.writeByteArray(own + prove(LISTENER, theirs, own))
        output.flush()
        return MessageDigest.isEqual(input.readByteArray(PROOF_BYTES), prove(DIALLER, theirs, own))
    }

    private fun nonce() = ByteArray(NONCE_BYTES).also(random::nextBytes)

    private fun prove(role: String, dialler: ByteArray, listener: ByteArray): ByteArray =
        Mac.getInstance(ALGORITHM).run {
            init(key)
            update(role.toByteArray())
            update(dialler)
            doFinal(listener)
        }

    companion object {
        const val NONCE_BYTES = 32
        const val PROOF_BYTES = 32

        /** Names the protocol and the version of its handshake. */
        val MAGIC = "AVP1".toByteArray()

        private const val ALGORITHM = "HmacSHA256"
        private const val DIALLER = "dialler"
        private const val LISTENER = "listener"
    }
}
