package io.anvilvalve.host

import org.eclipse.jetty.http.BadMessageException
import org.eclipse.jetty.http.HttpException
import org.eclipse.jetty.http.HttpField
import org.eclipse.jetty.http.HttpStatus
import org.eclipse.jetty.io.EndPoint
import org.eclipse.jetty.server.Connector
import org.eclipse.jetty.server.HttpConfiguration
import org.eclipse.jetty.server.internal.HttpConnection
import java.util.concurrent.atomic.AtomicInteger
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.TimeSource

/**
 * HTTP connection that can be closed between requests without losing one, and that limits the header of a request in
 * time and number of fields.
 *
 * The threads that read or answer a request are counted from before its first byte is read. A close succeeds only while
 * there are none, and no request is read after it.
 */
internal class CallerConnection(
    configuration: HttpConfiguration,
    connector: Connector,
    endPoint: EndPoint,
    private val time: TimeSource.WithComparableMarks,
    private val bounds: ConnectionBounds,
) : HttpConnection(configuration, connector, endPoint) {
    private val users = AtomicInteger()
    private val openedAt = time.markNow()

    @Volatile
    private var idleSince = openedAt

    /** When the first byte of a header arrived that is not complete; null if there is none. */
    @Volatile
    private var headerSince: ComparableTimeMark? = null

    /** Whether no thread reads or answers a request. */
    val isUnused: Boolean get() = users.get() == 0

    /** Time since the connection was opened. */
    val age: Duration get() = openedAt.elapsedNow()

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

    /** Closes the connection if a header has been arriving for [limit] or longer; returns whether it was closed. */
    fun closeIfHeaderLate(limit: Duration): Boolean {
        val since = headerSince ?: return false
        if (since.elapsedNow() < limit) return false
        endPoint.close()
        return true
    }

    override fun newRequestHandler(): RequestHandler = HeaderLimits()

    private fun enter(): Boolean {
        while (true) {
            val count = users.get()
            if (count < 0) return false
            if (users.compareAndSet(count, count + 1)) return true
        }
    }

    /** Measures the header while it is parsed, because its fields occupy much more memory than its bytes. */
    private inner class HeaderLimits : RequestHandler() {
        private var fields = 0

        override fun messageBegin() {
            fields = 0
            headerSince = time.markNow()
            super.messageBegin()
        }

        override fun parsedHeader(field: HttpField) {
            countField()
            super.parsedHeader(field)
        }

        override fun parsedTrailer(field: HttpField) {
            countField()
            super.parsedTrailer(field)
        }

        override fun headerComplete(): Boolean {
            headerSince = null
            return super.headerComplete()
        }

        override fun badMessage(failure: HttpException) {
            headerSince = null
            super.badMessage(failure)
        }

        private fun countField() {
            if (++fields <= bounds.maxHeaderFields) return
            bounds.reports.acted(ClientLimit.HEADER_FIELDS)
            throw BadMessageException(HttpStatus.REQUEST_HEADER_FIELDS_TOO_LARGE_431, "Too many header fields")
        }
    }

    private companion object {
        const val CLOSED = Int.MIN_VALUE
    }
}
