package io.anvilvalve.net

import java.io.IOException
import java.net.Socket
import kotlin.time.Duration

/** A call on a connection that is opened for it. */
internal class SingleUseCall(
    private val request: CallRequest,
    private val connectTimeout: Duration,
    private val readTimeout: Duration,
    private val encryption: EncryptedSockets?,
) : ServerCall {
    private val socket = Socket()

    @Volatile
    override var sent = false
        private set

    override fun execute(): ServerAnswer {
        socket.connectTo(request.address, connectTimeout, readTimeout)
        val connected = encryption?.encrypt(socket, request.address) ?: socket
        return RequestExchange(request, AnswerConnection(connected)) { sent = true }.execute()
    }

    override fun close() {
        try {
            socket.close()
        } catch (_: IOException) {
            // The answer has been read, or whoever reads it gets the failure.
        }
    }
}
