package io.anvilvalve.net

import java.io.FilterInputStream
import java.io.IOException
import java.io.InputStream
import java.net.InetAddress
import java.net.Socket
import javax.net.SocketFactory

/**
 * Creates sockets whose input fails after more than [maxLineBytes] bytes without a line feed.
 *
 * The HTTP client reads the line with the size of a chunk without a limit, so a server that never ends it would fill the
 * heap.
 */
internal class BoundedSockets(private val maxLineBytes: Int) : SocketFactory() {
    override fun createSocket(): Socket = BoundedSocket(maxLineBytes)

    override fun createSocket(host: String, port: Int): Socket = unsupported()

    override fun createSocket(host: String, port: Int, localHost: InetAddress, localPort: Int): Socket = unsupported()

    override fun createSocket(host: InetAddress, port: Int): Socket = unsupported()

    override fun createSocket(host: InetAddress, port: Int, localHost: InetAddress, localPort: Int): Socket =
        unsupported()

    private fun unsupported(): Nothing = throw UnsupportedOperationException("the HTTP client connects sockets itself")

    private class BoundedSocket(private val maxLineBytes: Int) : Socket() {
        private val input by lazy { BoundedInput(super.getInputStream(), maxLineBytes) }

        override fun getInputStream(): InputStream = input
    }

    private class BoundedInput(input: InputStream, private val maxLineBytes: Int) : FilterInputStream(input) {
        private var lineBytes = 0

        override fun read(): Int {
            val single = ByteArray(1)
            return if (read(single, 0, 1) < 0) -1 else single[0].toInt() and BYTE_MASK
        }

        override fun read(target: ByteArray, offset: Int, length: Int): Int =
            super.read(target, offset, length).also { if (it > 0) count(target, offset, it) }

        private fun count(bytes: ByteArray, offset: Int, length: Int) {
            var index = offset + length - 1
            while (index >= offset && bytes[index] != LINE_FEED) index--
            val sinceLineFeed = offset + length - 1 - index
            lineBytes = if (index < offset) lineBytes + length else sinceLineFeed
            if (lineBytes > maxLineBytes) throw IOException("more than $maxLineBytes bytes without a line feed")
        }
    }

    private companion object {
        const val LINE_FEED = '\n'.code.toByte()
        const val BYTE_MASK = 0xFF
    }
}
