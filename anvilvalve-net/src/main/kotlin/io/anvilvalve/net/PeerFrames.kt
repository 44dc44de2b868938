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

/** Wire format of frames: a 4-byte big-endian length, followed by the [PeerFrame] in CBOR. */
internal object PeerFrames {
    const val MAX_BYTES = PeerFrame.MAX_BYTES

    /** Returns the wire format of [frame], or null when its CBOR exceeds [MAX_BYTES]. */
    fun encode(frame: PeerFrame): ByteArray? {
        val body = BinaryCodec.encode(PeerFrame.serializer(), frame)
        if (body.size > MAX_BYTES) return null
        return ByteBuffer.allocate(Int.SIZE_BYTES + body.size).putInt(body.size).put(body).array()
    }

    /** Reads the next frame; returns null at the end of [channel] and a left when the connection must be closed. */
    suspend fun read(channel: ByteReadChannel): Either<String, PeerFrame>? {
        if (channel.exhausted()) return null
        return try {
            val length = channel.readInt()
            if (length !in 1..MAX_BYTES) {
                "frame length $length is not between 1 and $MAX_BYTES bytes".left()
            } else {
                decode(channel.readByteArray(length))
            }
        } catch (_: EOFException) {
            "truncated frame".left()
        }
    }

    private fun decode(bytes: ByteArray): Either<String, PeerFrame> =
        BinaryCodec.decode(PeerFrame.serializer(), bytes).flatMap { frame ->
            if (frame.version == PeerFrame.VERSION) frame.right() else "unsupported version ${frame.version}".left()
        }
}
