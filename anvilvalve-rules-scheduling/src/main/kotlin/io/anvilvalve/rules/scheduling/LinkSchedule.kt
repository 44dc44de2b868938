package io.anvilvalve.rules.scheduling

/** Planned KV transfers of one link, one at a time. */
internal class LinkSchedule {
    private val planned = ArrayList<Transfer>()

    /** Earliest time from [from] on at which the link is idle for [duration] microseconds. */
    fun earliestStart(from: Long, duration: Long): Long {
        var start = from
        for (transfer in planned) {
            if (start + duration <= transfer.start) return start
            if (transfer.end > start) start = transfer.end
        }
        return start
    }

    fun add(transfer: Transfer) {
        val index = planned.indexOfFirst { it.start > transfer.start }
        if (index < 0) planned.add(transfer) else planned.add(index, transfer)
    }

    fun remove(transfer: Transfer) {
        planned.remove(transfer)
    }

    /** A transfer that occupies both its links from [start] to [end]. */
    class Transfer(val start: Long, val end: Long)
}
