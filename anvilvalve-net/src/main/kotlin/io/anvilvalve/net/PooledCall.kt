package io.anvilvalve.net

import java.net.SocketException
import kotlin.time.Duration

/** A call on a connection of [pool], or on a new one that may be kept in it afterwards. */
internal class PooledCall(
    private val request: CallRequest,
    private val pool: ConnectionPool,
    private val connectTimeout: Duration,
    private val readTimeout: Duration,
) : ServerCall {
    private val lock = Any()

    /** Null before the call has a connection, and after it was closed or kept. */
    private var held: KeptConnection? = null
    private var closed = false
    private var exchange: RequestExchange? = null

    @Volatile
    override var sent = false
        private set

    @Volatile
    override var reused = false
        private set

    override fun execute(): ServerAnswer {
        val connection = takeKept() ?: open()
        return RequestExchange(request, connection.wire) { sent = true }.also { exchange = it }.execute()
    }

    override fun keepConnection() {
        val server = request.server ?: return
        val ended = exchange?.takeIf { it.leavesConnectionUsable } ?: return
        release()?.let { pool.put(server, it, ended.idleTimeout) }
    }

    override fun close() {
        val connection = synchronized(lock) {
            closed = true
            release()
        }
        connection?.close()
    }

    private fun takeKept(): KeptConnection? {
        val server = request.server?.takeIf { request.mayReuse } ?: return null
        return pool.take(server)?.also {
            reused = true
            hold(it)
        }
    }

    private fun open(): KeptConnection {
        val connection = KeptConnection()
        // Held before it is connected, so that [close] ends the attempt to connect.
        hold(connection)
        connection.connect(request.address, connectTimeout, readTimeout)
        pool.countOpened()
        return connection
    }

    private fun hold(connection: KeptConnection) {
        val isHeld = synchronized(lock) {
            if (!closed) held = connection
            !closed
        }
        if (isHeld) return
        connection.close()
        throw SocketException("the call was closed")
    }

    /** Only one of [keepConnection] and [close] gets the connection. */
    private fun release(): KeptConnection? = synchronized(lock) { held.also { held = null } }
}
