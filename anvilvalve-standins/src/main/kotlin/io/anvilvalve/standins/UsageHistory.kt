package io.anvilvalve.standins

import kotlin.time.Duration

/** Usage of an engine over the last [interval], the source of load reports that lag behind. */
internal class UsageHistory(private val interval: Duration) {
    private class Entry(val at: Duration, val usage: EngineUsage)

    private val entries = ArrayDeque<Entry>()

    /** Last usage recorded. */
    var latest = EngineUsage()
        private set

    @Synchronized
    fun record(now: Duration, usage: EngineUsage) {
        latest = usage
        if (entries.lastOrNull()?.at == now) entries.removeLast()
        entries.addLast(Entry(now, usage))
        evictBefore(now - interval)
    }

    /** Returns the usage at [time], which is at most [interval] ago. */
    @Synchronized
    fun at(time: Duration): EngineUsage = entries.lastOrNull { it.at <= time }?.usage ?: EngineUsage()

    private fun evictBefore(time: Duration) {
        while (entries.size > 1 && entries[1].at <= time) entries.removeFirst()
    }
}
