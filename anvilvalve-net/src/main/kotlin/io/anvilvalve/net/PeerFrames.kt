package io.anvilvalve.net

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.anvilvalve.api.BinaryCodec
import io.anvilvalve.api.peer.PeerFrame
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.exhausted
import io.ktor.utils.io.readByteArray
import io.ktor.utils.io.readInt
import kotlinx.io.EOFException
import java.nio.ByteBuffer

/** Frames on the wire: a 4-byte big-endian length and CBOR of [PeerFrame]. */
internal object PeerFrames {
    /** Bounds the memory that a peer can make this host reserve. */
    const val MAX_BYTES = 1024 * 1024

    /** Returns the bytes of [frame], or null when it exceeds [MAX_BYTES]. */
    fun encode(frame: PeerFrame): ByteArray? {
        val body = BinaryCodec.encode(PeerFrame.serializer(), frame)
        if (body.size > MAX_BYTES) return null
        return ByteBuffer.allocate(Int.SIZE_BYTES + body.size).putInt(body.size).put(body).array()
    }

    /** Reads the next frame of [channel]; null at its end, a left side when the connection has to be closed. */
    suspend fun read(channel: ByteReadChannel): Either<String, PeerFrame>? {
        if (channel.exhausted()) return null
        return try {
            val length = channel.readInt()
            if (length !in 1..MAX_BYTES) {
                "frame of $length bytes".left()
            } else {
                decode(channel.readByteArray(length))
            }
        } catch (_: EOFException) {
            "truncated frame".left()
        }
    }

    private fun decode(bytes: ByteArray): Either<String, PeerFrame> =
        BinaryCodec.decode(PeerFrame.serializer(), bytes).flatMap { frame ->
            if (frame.version == PeerFrame.VERSION) frame.right() else "frame of version ${frame.version}".left()
        }
}
