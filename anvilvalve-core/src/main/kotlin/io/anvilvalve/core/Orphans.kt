package io.anvilvalve.core

import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.log.Member
import io.anvilvalve.api.release.BackendServer
import io.anvilvalve.api.result.LogEvent

/**
 * Cancels the attempts that a removed host left running at backend servers.
 *
 * A removed host starts no attempt after its removal has taken effect, so the attempts known by then are all of them.
 */
internal class Orphans(
    private val out: Outbox,
    private val backup: InFlightBackup,
    private val placedWork: PlacedWork,
    private val cancels: Cancels,
) {
    fun cancel(member: Member, server: (BackendServerId) -> BackendServer?) {
        val orphans = backup.remove(member.incarnation) + placedWork.removeByOrigin(member.host)
        if (orphans.isEmpty()) return
        out.log(LogEvent.ORPHANS_CANCELLED, "member" to member.incarnation, "attempts" to orphans.size)
        for (orphan in orphans) {
            orphan.servers.mapNotNull(server).forEach { cancels.start(it, orphan.engineId) }
        }
    }
}
