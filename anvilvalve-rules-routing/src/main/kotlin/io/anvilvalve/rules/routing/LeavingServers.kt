package io.anvilvalve.rules.routing

import io.anvilvalve.api.peer.LeavingServer
import io.anvilvalve.api.result.LogEvent
import io.anvilvalve.api.routing.Backend

/**
 * Backend servers that have announced in a response that they leave, to this host or to another one.
 *
 * An announcement does not expire, because it names one start of a server, and that start does not come back. The entry
 * of the server in the store has no effect on it.
 */
internal class LeavingServers(private val out: Outbox, private val directory: Directory) : ServerRule {
    /** Announcements, oldest first. */
    private val announced = LinkedHashSet<LeavingServer>()

    /** Announcements about servers that are registered with this start, for reporting to other hosts. */
    val known: List<LeavingServer>
        get() = announced.filter { directory[it.server]?.startedAtMillis == it.startedAtMillis }

    override fun allows(server: Backend, need: PlacementNeed?): Boolean =
        announced.isEmpty() || server.announcement !in announced

    /** Records that [server] has announced to this host that it leaves; returns whether this is new. */
    fun reported(server: Backend): Boolean = record(server.announcement, toldBy = "server")

    /** Records what the host [from] knows; returns whether some of it is new. */
    fun applyReport(from: String, leaving: List<LeavingServer>): Boolean = leaving.count { record(it, from) } > 0

    private fun record(announcement: LeavingServer, toldBy: String): Boolean {
        if (!announced.add(announcement)) return false
        if (announced.size > MAX_ANNOUNCED) announced.remove(announced.first())
        out.log(
            LogEvent.SERVER_LEAVING,
            "server" to announcement.server,
            "born" to announcement.startedAtMillis,
            "told_by" to toldBy,
        )
        return true
    }

    private val Backend.announcement get() = LeavingServer(id, startedAtMillis)

    private companion object {
        /** Several times the number of servers of a large deployment; older announcements are about servers long gone. */
        const val MAX_ANNOUNCED = 2_048
    }
}
