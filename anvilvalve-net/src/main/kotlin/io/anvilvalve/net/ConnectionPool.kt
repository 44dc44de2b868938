package io.anvilvalve.net

import io.anvilvalve.api.routing.ServerStart
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/**
 * Idle connections to servers, for a short time after a call.
 *
 * A connection belongs either to the pool or to one call. Until [retain] names a server, none of its connections is kept.
 *
 * @param maxIdle maximum number of idle connections to all servers.
 * @param keepTime time after which an idle connection is closed by [closeExpired], and not used any more; half of the
 * time-out of the server if that is shorter.
 */
class ConnectionPool(
    private val maxIdle: Int,
    private val keepTime: Duration = KEEP_TIME,
    private val time: TimeSource = TimeSource.Monotonic,
) : AutoCloseable {
    private class Idle(
        val server: ServerStart,
        val connection: KeptConnection,
        val since: TimeMark,
        val keepTime: Duration,
    )

    private val opened = AtomicLong()
    private val reused = AtomicLong()

    /** Oldest first. */
    private val idle = ArrayDeque<Idle>()
    private var limits: Map<ServerStart, Int> = emptyMap()

    /** Number of connections that were opened for calls. */
    val openedCount: Long get() = opened.get()

    /** Number of calls that were sent on a kept connection. */
    val reusedCount: Long get() = reused.get()

    /** Number of idle connections. */
    val idleCount: Int get() = synchronized(idle) { idle.size }

    /** Keeps as many idle connections to each server as [limits] tells, and none to servers that it does not name. */
    fun retain(limits: Map<ServerStart, Int>) = closeAll {
        this.limits = limits
        removeIdle(idle.groupBy { it.server }.flatMap { (server, all) -> all.dropLast(limitOf(server)) })
    }

    /** Closes the connections that have been idle for too long. */
    fun closeExpired() = closeAll { removeIdle(idle.filter(::isExpired)) }

    /** Closes all idle connections; no connection is kept afterwards. */
    override fun close() = retain(emptyMap())

    /** Returns a usable connection to [server], which then belongs to the caller; null if there is none. */
    internal fun take(server: ServerStart): KeptConnection? {
        while (true) {
            val candidate = synchronized(idle) { removeNewest(server) } ?: return null
            // Outside of the lock, because it calls the system.
            if (!isExpired(candidate) && candidate.connection.isQuiet()) {
                reused.incrementAndGet()
                return candidate.connection
            }
            candidate.connection.close()
        }
    }

    /**
     * Takes over [connection] after a call to [server], and closes it if it is not kept.
     *
     * @param idleTimeout time after which the server closes an idle connection.
     */
    internal fun put(server: ServerStart, connection: KeptConnection, idleTimeout: Duration = Duration.INFINITE) =
        closeAll {
            val added = Idle(server, connection, time.markNow(), minOf(keepTime, idleTimeout / TIMEOUT_DIVISOR))
            idle.addLast(added)
            val surplus = if (isExpired(added)) listOf(added) else surplus(server)
            val closed = removeIdle(surplus)
            if (idle.size > maxIdle) closed + idle.removeFirst() else closed
        }

    internal fun countOpened() {
        opened.incrementAndGet()
    }

    private fun surplus(server: ServerStart) = idle.filter { it.server == server }.dropLast(limitOf(server))

    private fun limitOf(server: ServerStart) = limits[server] ?: 0

    private fun isExpired(candidate: Idle) = candidate.since.elapsedNow() >= candidate.keepTime

    private fun removeNewest(server: ServerStart): Idle? {
        val index = idle.indexOfLast { it.server == server }
        return if (index < 0) null else idle.removeAt(index)
    }

    private fun removeIdle(removed: List<Idle>): List<Idle> = removed.also { idle.removeAll(it.toSet()) }

    /** Closes what [select] has removed; a close calls the system, and is therefore outside of the lock. */
    private inline fun closeAll(select: () -> List<Idle>) =
        synchronized(idle) { select() }.forEach { it.connection.close() }

    private companion object {
        /** A server closes a connection after its own time, which begins earlier and is measured by its own clock. */
        const val TIMEOUT_DIVISOR = 2

        /** Not all servers tell their idle time-out; most frameworks use 5 s or more. */
        val KEEP_TIME = 1_500.milliseconds
    }
}
