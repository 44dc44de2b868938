package io.anvilvalve.core

import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.log.Member
import io.anvilvalve.api.release.BackendServer
import io.anvilvalve.api.result.LogEvent

/**
 * Cancels what a removed host left at backend servers.
 *
 * A removed host starts nothing more once its removal has taken effect, so whatever is known then is all there is.
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
