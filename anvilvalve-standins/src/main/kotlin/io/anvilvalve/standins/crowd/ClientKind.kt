package io.anvilvalve.standins.crowd

import java.net.Socket

/**
 * A kind of client that does not behave.
 *
 * @property clients number of clients in a crowd.
 * @property answerBytes length of the answers of backend servers.
 * @property behave sends requests on a connection, which is closed later; may block until then.
 */
enum class ClientKind(
    val clients: Int = 64,
    val answerBytes: Int = 0,
    internal val behave: (socket: Socket, head: RequestHead) -> Unit,
) {
    BODY_HELD_WHOLE(behave = { socket, head ->
        socket.send(head.text("Content-Length: $BODY_BYTES"))
        socket.getOutputStream().write(ByteArray(BODY_BYTES - 1))
    }),
    BODY_HELD_IN_PIECES(behave = { socket, head ->
        socket.send(head.text("Content-Length: $BODY_BYTES"))
        val pieces = BODY_BYTES / PIECE_BYTES
        repeat(pieces - 1) { socket.getOutputStream().write(ByteArray(PIECE_BYTES)) }
        socket.getOutputStream().write(ByteArray(PIECE_BYTES - 1))
    }),
    BODY_HELD_IN_CHUNKS(behave = { socket, head ->
        socket.send(head.text("Transfer-Encoding: chunked"))
        repeat(BODY_BYTES / PIECE_BYTES) { socket.sendChunk() }
    }),
    BODY_OVER_LIMIT(behave = { socket, head ->
        socket.send(head.text("Transfer-Encoding: chunked"))
        repeat(OVER_LIMIT * BODY_BYTES / PIECE_BYTES) { socket.sendChunk() }
    }),
    LENGTH_OVER_LIMIT(behave = { socket, head ->
        socket.send(head.text("Content-Length: ${OVER_LIMIT * BODY_BYTES}"))
        repeat(OVER_LIMIT * BODY_BYTES / PIECE_BYTES) { socket.getOutputStream().write(ByteArray(PIECE_BYTES)) }
    }),
    MANY_FIELDS(behave = { socket, head ->
        val text = head.text("Content-Length: 1")
        // The last byte of the body is missing, so that the request stays open.
        socket.send(text.dropLast(2) + shortFields(HEAD_BYTES - text.length) + "\r\n")
    }),
    MANY_FIELDS_HELD(behave = { socket, head ->
        val text = head.text().dropLast(2)
        socket.send(text + shortFields(HEAD_BYTES - text.length))
    }),
    PIPELINED(behave = { socket, head ->
        repeat(PIPELINED_REQUESTS) { socket.send(head.text("Content-Length: 1000") + "x".repeat(1_000)) }
    }),
    SLOW_SEND(behave = { socket, head ->
        socket.send(head.text("Content-Length: $BODY_BYTES"))
        while (true) {
            socket.getOutputStream().write(0)
            Thread.sleep(PAUSE_MILLIS)
        }
    }),
    SLOW_READ(answerBytes = 1_500_000, behave = { socket, head ->
        repeat(SLOW_READ_REQUESTS) { socket.send(head.text("Content-Length: 1") + "x") }
        while (socket.getInputStream().read() >= 0) Thread.sleep(PAUSE_MILLIS)
    }),
    STOP_IN_HEAD(clients = 400, behave = { socket, head -> socket.send(head.text().dropLast(STOPPED_BEFORE)) }),
    STOP_AND_RESET(behave = { socket, head ->
        socket.send(head.text("Content-Length: $BODY_BYTES"))
        socket.getOutputStream().write(ByteArray(BODY_BYTES / 2))
        socket.setSoLinger(true, 0)
        socket.close()
    }),
    ;

    companion object {
        /** The limit in the configuration of the tests. */
        const val BODY_BYTES = 1_048_576
        private const val PIECE_BYTES = 16 * 1_024
        private const val OVER_LIMIT = 8

        /** Less than the limit of 16,384 bytes, in which a server counts more than the bytes of the lines. */
        private const val HEAD_BYTES = 15_000
        private const val PIPELINED_REQUESTS = 400
        private const val SLOW_READ_REQUESTS = 20
        private const val STOPPED_BEFORE = 20
        private const val PAUSE_MILLIS = 50L

        private fun shortFields(bytes: Int): String = "a:\r\n".let { it.repeat(bytes / it.length) }

        private fun Socket.send(text: String) = getOutputStream().write(text.toByteArray())

        private fun Socket.sendChunk() {
            val size = Integer.toHexString(PIECE_BYTES)
            send("$size\r\n" + "x".repeat(PIECE_BYTES) + "\r\n")
        }
    }
}
