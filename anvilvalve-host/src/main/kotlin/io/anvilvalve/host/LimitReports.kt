package io.anvilvalve.host

import io.anvilvalve.api.result.LogEvent
import java.util.EnumMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** Counts how often each limit on clients acts, and logs it with at most one line per limit in 10 s. */
internal class LimitReports(private val events: EventLog, private val time: TimeSource.WithComparableMarks) {
    private class State {
        val count = AtomicLong()
        var logged = 0L
        var loggedAt: ComparableTimeMark? = null
    }

    private val states = ClientLimit.entries.associateWithTo(EnumMap(ClientLimit::class.java)) { State() }

    /** Number of times that [limit] has acted. */
    fun count(limit: ClientLimit): Long = states.getValue(limit).count.get()

    /** Records that [limit] refused or disconnected a client. */
    fun acted(limit: ClientLimit) {
        val state = states.getValue(limit)
        val count = state.count.incrementAndGet()
        val unlogged = synchronized(state) {
            if (state.loggedAt?.let { it.elapsedNow() < LOG_INTERVAL } == true) return
            state.loggedAt = time.markNow()
            (count - state.logged).also { state.logged = count }
        }
        events.write(LogEvent.CLIENT_LIMIT_REACHED, mapOf("limit" to limit.label, "clients" to "$unlogged"))
    }

    private companion object {
        val LOG_INTERVAL = 10.seconds
    }
}
