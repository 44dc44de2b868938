package io.anvilvalve.standins.crowd

import java.io.IOException
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/** Clients of one [kind] that connect to [port] at the same time and stay connected until the crowd is closed. */
class Crowd(private val kind: ClientKind, private val head: RequestHead, private val port: Int) : AutoCloseable {
    private val sockets = List(kind.clients) { Socket().apply { receiveBufferSize = RECEIVE_BUFFER_BYTES } }
    private val sent = CountDownLatch(kind.clients)

    init {
        sockets.forEach { socket -> thread(isDaemon = true, name = "client") { behave(socket) } }
    }

    /** Waits until all clients have sent what they send; those that the host does not read from stay blocked. */
    fun awaitSent() {
        sent.await(SEND_MILLIS, TimeUnit.MILLISECONDS)
    }

    override fun close() = sockets.forEach(Socket::close)

    private fun behave(socket: Socket) {
        try {
            socket.connect(InetSocketAddress(InetAddress.getLoopbackAddress(), port))
            kind.behave(socket, head)
        } catch (_: IOException) {
            // The host refused the client, or the crowd was closed.
        } finally {
            sent.countDown()
        }
    }

    private companion object {
        const val SEND_MILLIS = 1_000L

        /** A small buffer makes a slow reader slow for the host as well. */
        const val RECEIVE_BUFFER_BYTES = 4_096
    }
}
