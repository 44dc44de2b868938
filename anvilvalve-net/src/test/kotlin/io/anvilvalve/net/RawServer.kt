package io.anvilvalve.net

import java.io.BufferedReader
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/** Sends [answer] to each request, for answers that an HTTP server does not send, and closes the connection. */
internal class RawServer(private val answer: String) : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    val address = "127.0.0.1:${server.localPort}"

    /** Lines of the head of each received request. */
    val heads = CopyOnWriteArrayList<List<String>>()

    init {
        thread(isDaemon = true) {
            try {
                while (true) server.accept().use(::serve)
            } catch (_: IOException) {
                // The server has been closed.
            }
        }
    }

    override fun close() = server.close()

    private fun serve(socket: Socket) {
        val reader = socket.getInputStream().bufferedReader()
        heads += readHead(reader)
        socket.getOutputStream().write(answer.toByteArray())
    }

    private fun readHead(reader: BufferedReader): List<String> {
        val head = generateSequence { reader.readLine()?.ifEmpty { null } }.toList()
        val length = head.firstOrNull { it.startsWith("Content-Length: ") }?.substringAfter(' ')?.toInt() ?: 0
        // A connection that is closed with unread bytes is reset.
        repeat(length) { reader.read() }
        return head
    }

    private companion object {
        const val BACKLOG = 16
    }
}
