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
 * Mutual authentication of both ends of a connection with the shared [secret].
 *
 * The dialling end sends a nonce, the listening end replies with its nonce and proof, and the dialling end finishes
 * with its proof. A proof is the HMAC-SHA-256 of the role and both nonces; the role prevents reflection of a proof.
 */
internal class PeerHandshake(secret: ByteArray, private val random: SecureRandom = SecureRandom()) {
    private val key = SecretKeySpec(secret, ALGORITHM)

    /** Runs the dialling end of the handshake; returns whether the peer is authenticated. */
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

    /** Runs the listening end of the handshake; returns whether the peer is authenticated. */
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

        /** First bytes of a connection; they identify the protocol and the handshake version. */
        val MAGIC = "AVP1".toByteArray()

        private const val ALGORITHM = "HmacSHA256"
        private const val DIALLER = "dialler"
        private const val LISTENER = "listener"
    }
}
