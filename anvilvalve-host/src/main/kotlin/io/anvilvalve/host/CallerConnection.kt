package io.anvilvalve.host

import org.eclipse.jetty.io.EndPoint
import org.eclipse.jetty.server.Connector
import org.eclipse.jetty.server.HttpConfiguration
import org.eclipse.jetty.server.internal.HttpConnection
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.Duration
import kotlin.time.TimeSource

/**
 * HTTP connection that can be closed between requests without losing one.
 *
 * The threads that read or answer a request are counted from before its first byte is read. A close succeeds only while
 * there are none, and no request is read after it.
 */
internal class CallerConnection(
    configuration: HttpConfiguration,
    connector: Connector,
    endPoint: EndPoint,
    private val time: TimeSource.WithComparableMarks,
) : HttpConnection(configuration, connector, endPoint) {
    private val users = AtomicInteger()

    @Volatile
    private var idleSince = time.markNow()

    /** Whether no thread reads or answers a request. */
    val isUnused: Boolean get() = users.get() == 0

    override fun onFillable() {
        if (!enter()) return
        try {
            super.onFillable()
        } finally {
            idleSince = time.markNow()
            users.decrementAndGet()
        }
    }

    /**
     * Closes the connection unless a request is being read or answered, or was within [idleTime]; returns whether it was
     * closed.
     */
    fun closeIfIdle(idleTime: Duration = Duration.ZERO): Boolean {
        // A request is present until its answer is complete, also if another thread completes it.
        val isIdle = parser.isIdle && httpChannel.request == null && idleSince.elapsedNow() >= idleTime
        if (!isIdle || !users.compareAndSet(0, CLOSED)) return false
        endPoint.close()
        return true
    }

    private fun enter(): Boolean {
        while (true) {
            val count = users.get()
            if (count < 0) return false
            if (users.compareAndSet(count, count + 1)) return true
        }
    }

    private companion object {
        const val CLOSED = Int.MIN_VALUE
    }
}
