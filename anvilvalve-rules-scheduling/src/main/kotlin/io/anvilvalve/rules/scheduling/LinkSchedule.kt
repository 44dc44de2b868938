package io.anvilvalve.rules.scheduling

/** Planned KV transfers of one link, which carries one transfer at a time. */
internal class LinkSchedule {
    private val planned = ArrayList<Transfer>()

    /** Earliest time not before [from] at which the link is idle for [duration] microseconds. */
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

    /** A transfer that occupies the links of both servers from [start] to [end], in microseconds. */
    class Transfer(val start: Long, val end: Long)
}
