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
        val ownNonce = nonce()
        output.writeByteArray(MAGIC + ownNonce)
        output.flush()
        val peerNonce = input.readByteArray(NONCE_BYTES)
        val proof = input.readByteArray(PROOF_BYTES)
        if (!MessageDigest.isEqual(proof, computeProof(LISTENER, ownNonce, peerNonce))) return false
        output.writeByteArray(computeProof(DIALLER, ownNonce, peerNonce))
        output.flush()
        return true
    }

    /** Plays the listening end; returns whether the other end proved itself. */
    suspend fun listen(input: ByteReadChannel, output: ByteWriteChannel): Boolean {
        if (!input.readByteArray(MAGIC.size).contentEquals(MAGIC)) return false
        val peerNonce = input.readByteArray(NONCE_BYTES)
        val ownNonce = nonce()
        output.writeByteArray(ownNonce + computeProof(LISTENER, peerNonce, ownNonce))
        output.flush()
        return MessageDigest.isEqual(input.readByteArray(PROOF_BYTES), computeProof(DIALLER, peerNonce, ownNonce))
    }

    private fun nonce() = ByteArray(NONCE_BYTES).also(random::nextBytes)

    private fun computeProof(role: String, diallerNonce: ByteArray, listenerNonce: ByteArray): ByteArray =
        Mac.getInstance(ALGORITHM).run {
            init(key)
            update(role.toByteArray())
            update(diallerNonce)
            doFinal(listenerNonce)
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
