package io.anvilvalve.host

import io.anvilvalve.api.result.LogEvent
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Logs at most [MAX_LINES] lines of [event] in 10 s; the next line after that names the number of those left out. */
internal class BoundedEvents(
    private val events: EventLog,
    private val event: LogEvent,
    private val time: TimeSource.WithComparableMarks,
) {
    private var windowStart = time.markNow()
    private var lines = 0
    private var omitted = 0

    /** Logs [fields], or counts them as left out. */
    @Synchronized
    fun write(fields: Map<String, String>) {
        if (windowStart.elapsedNow() >= WINDOW) {
            windowStart = time.markNow()
            lines = 0
        }
        if (++lines > MAX_LINES) {
            omitted++
            return
        }
        events.write(event, if (omitted == 0) fields else fields + ("omitted" to "$omitted"))
        omitted = 0
    }

    fun error(e: Throwable) = write(EventLog.fields(e))

    private companion object {
        val WINDOW = 10.seconds
        const val MAX_LINES = 20
    }
}
