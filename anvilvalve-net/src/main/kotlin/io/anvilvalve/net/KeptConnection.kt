package io.anvilvalve.net

import java.io.Closeable
import java.io.IOException
import java.nio.ByteBuffer
import java.nio.channels.SocketChannel
import kotlin.time.Duration

/** A connection to a server that may carry several calls, one after the other. */
internal class KeptConnection : Closeable {
    private val channel = SocketChannel.open()

    /** Present once [connect] has returned. */
    lateinit var wire: AnswerConnection
        private set

    fun connect(address: String, connectTimeout: Duration, readTimeout: Duration) {
        channel.socket().connectTo(address, connectTimeout, readTimeout)
        wire = AnswerConnection(channel.socket())
    }

    /**
     * Whether the connection is open and no byte has arrived on it; does not wait. Only for a connection that carries no
     * call.
     */
    fun isQuiet(): Boolean = try {
        channel.configureBlocking(false)
        val count = channel.read(ByteBuffer.allocate(1))
        channel.configureBlocking(true)
        count == 0
    } catch (_: IOException) {
        false
    }

    override fun close() {
        try {
            channel.close()
        } catch (_: IOException) {
            // The answer has been read, or whoever reads it gets the failure.
        }
    }
}
