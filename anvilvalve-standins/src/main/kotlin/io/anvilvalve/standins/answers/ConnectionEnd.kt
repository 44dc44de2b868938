package io.anvilvalve.standins.answers

import java.io.InputStream
import java.net.Socket

/**
 * How a server ends a connection after its answer; [end] gets the input at the body of the request, and the number of
 * bytes that the body has.
 */
enum class ConnectionEnd(internal val end: (socket: Socket, input: InputStream, bodyBytes: Long) -> Unit) {
    /** The server has read the request and closes the connection. */
    CLOSE({ socket, input, bodyBytes ->
        input.skipNBytes(bodyBytes)
        socket.shutdownOutput()
        input.readAllBytes()
    }),

    /** The server has read the request and resets the connection. */
    RESET({ socket, input, bodyBytes ->
        input.skipNBytes(bodyBytes)
        socket.setSoLinger(true, 0)
    }),

    /** The server ends its side, and then the connection without having read the body of the request. */
    CLOSE_BESIDE_UPLOAD({ socket, _, _ -> socket.shutdownOutput() }),

    /** The server resets the connection without having read the body of the request. */
    RESET_BESIDE_UPLOAD({ socket, _, _ -> socket.setSoLinger(true, 0) }),
}
