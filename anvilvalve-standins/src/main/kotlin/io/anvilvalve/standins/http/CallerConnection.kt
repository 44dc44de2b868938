package io.anvilvalve.standins.http

import io.javalin.http.Context
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import org.eclipse.jetty.ee10.servlet.ServletContextRequest
import org.eclipse.jetty.io.EndPoint
import java.io.IOException
import java.nio.ByteBuffer
import java.nio.channels.SocketChannel
import kotlin.time.Duration

/** TCP connection of a caller whose request has been read. */
internal class CallerConnection private constructor(private val endPoint: EndPoint) {
    /** Closes the connection without completing the response. */
    fun abort() = endPoint.close()

    /**
     * Suspends until the caller has closed the connection, which is checked every [interval].
     *
     * The server does not read from a connection while it answers, so it would notice the close only at its next write.
     * Callers do not send a second request before the answer to the first, so the read can only meet end of stream.
     */
    suspend fun awaitClose(interval: Duration) {
        val channel = endPoint.transport as? SocketChannel ?: return awaitCancellation()
        do delay(interval) while (!isClosed(channel))
    }

    private fun isClosed(channel: SocketChannel): Boolean = try {
        channel.read(ByteBuffer.allocate(1)) < 0
    } catch (_: IOException) {
        true
    }

    companion object {
        fun of(ctx: Context): CallerConnection {
            val request = ServletContextRequest.getServletContextRequest(ctx.req())
            return CallerConnection(request.connectionMetaData.connection.endPoint)
        }
    }
}
