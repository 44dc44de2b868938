package io.anvilvalve.standins.answers

import java.io.BufferedInputStream
import java.io.IOException
import java.io.InputStream
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.concurrent.thread

/**
 * Server that answers each request on a connection of its own, with exact bytes and in a fixed order: it reads the head
 * of the request, sends the answer and ends the connection.
 *
 * @param respond returns the kind of the answer to a request with the given header lines, and the answer.
 */
class AnswerServer(private val respond: (List<String>) -> Pair<AnswerKind, SoundAnswer>) : AutoCloseable {
    private val server = ServerSocket().apply {
        // A client is still sending a body of [UPLOAD_BYTES] when the connection ends, because the sockets cannot hold it.
        receiveBufferSize = RECEIVE_BUFFER_BYTES
        bind(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), BACKLOG)
    }

    /** Header lines of each received request. */
    val requests = CopyOnWriteArrayList<List<String>>()
    val address = "127.0.0.1:${server.localPort}"

    init {
        thread(isDaemon = true) {
            try {
                while (true) server.accept().also { thread(isDaemon = true) { serve(it) } }
            } catch (_: IOException) {
                // The server has been closed.
            }
        }
    }

    override fun close() = server.close()

    private fun serve(socket: Socket) = socket.use {
        try {
            val input = BufferedInputStream(socket.getInputStream())
            val head = generateSequence { readLine(input).ifEmpty { null } }.toList()
            if (head.isEmpty()) return@use
            requests += head
            val length = head.firstOrNull { it.startsWith(LENGTH, ignoreCase = true) }?.substring(LENGTH.length)
            val (kind, answer) = respond(head)
            // Latin-1 keeps each byte of an answer that is not ASCII.
            socket.getOutputStream().write(kind.text(answer).toByteArray(Charsets.ISO_8859_1))
            kind.end.end(socket, input, length?.trim()?.toLong() ?: 0)
        } catch (_: IOException) {
            // The client has closed the connection.
        }
    }

    private fun readLine(input: InputStream): String {
        val line = StringBuilder()
        while (true) {
            val byte = input.read()
            if (byte < 0 || byte == '\n'.code) return line.toString()
            if (byte != '\r'.code) line.append(byte.toChar())
        }
    }

    companion object {
        /** Length of a request body that sockets on loopback cannot hold. */
        const val UPLOAD_BYTES = 16 * 1024 * 1024
        private const val RECEIVE_BUFFER_BYTES = 16 * 1024
        private const val BACKLOG = 64
        private const val LENGTH = "Content-Length:"
    }
}
