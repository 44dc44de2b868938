package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.result.LogEvent
import io.anvilvalve.api.routing.Backend
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Backend servers that want no requests from this host for some time.
 *
 * The first request after a pause is a probe; the others follow when it succeeds. A pause applies to one start of a
 * server. It is this host's own: other hosts are not told, and their requests may be granted the server.
 */
internal class ServerPauses(private val out: Outbox) : ServerRule {
    private class Pause(val startedAtMillis: Long, var until: Duration) {
        var probe: RequestId? = null
    }

    private val pauses = HashMap<BackendServerId, Pause>()

    override fun allows(server: Backend, need: PlacementNeed?): Boolean {
        val pause = if (need?.isOwn == false) null else find(server)
        return pause == null || (out.now >= pause.until && pause.probe == null)
    }

    override fun waitFor(server: Backend): Duration {
        val pause = find(server) ?: return Duration.ZERO
        return if (out.now < pause.until) pause.until - out.now else PROBE_TIME
    }

    /** Records that [server] asked in a response for a pause of [time]; of several requests the longest counts. */
    fun reported(server: Backend, time: Duration) {
        if (time <= Duration.ZERO) return
        val until = out.now + time
        val known = find(server)
        if (known == null || out.now >= known.until) {
            out.log(LogEvent.SERVER_PAUSED, "server" to server.id, "pause_ms" to time.inWholeMilliseconds)
        }
        val pause = known ?: Pause(server.startedAtMillis, until).also { pauses[server.id] = it }
        pause.until = maxOf(pause.until, until)
        pause.probe = null
    }

    /** Records that the request [id] is sent to [server]. */
    fun sent(server: Backend, id: RequestId) {
        find(server)?.takeIf { out.now >= it.until }?.probe = id
    }

    /** Records that [server] answers the request [id]. */
    fun answered(server: Backend, id: RequestId) {
        if (find(server)?.probe != id) return
        pauses.remove(server.id)
        out.log(LogEvent.SERVER_PAUSE_ENDED, "server" to server.id, "request" to id)
    }

    /** Records that the call of the request [id] has ended; if it was a probe, another request may follow. */
    fun ended(id: RequestId) {
        if (pauses.isNotEmpty()) pauses.values.forEach { if (it.probe == id) it.probe = null }
    }

    private fun find(server: Backend): Pause? =
        pauses[server.id]?.takeIf { it.startedAtMillis == server.startedAtMillis }

    private companion object {
        /** Time in which a probe is usually answered: some calls of a plain service, or a prefill. */
        val PROBE_TIME = 200.milliseconds
    }
}
