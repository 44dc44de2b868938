package io.anvilvalve.standins

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.anvilvalve.api.id.HostId
import io.anvilvalve.api.port.LiveHost
import io.anvilvalve.api.port.LiveHostList
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/** In-memory stand-in for the platform's live list of hosts; a change becomes visible after [lag]. */
class FakeLiveHostList(
    private val lag: Duration = 2.seconds,
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) : LiveHostList {
    private class Version(val at: ComparableTimeMark, val hosts: Map<HostId, LiveHost>)

    private val versions = ArrayDeque<Version>()
    private var latest: Map<HostId, LiveHost> = emptyMap()

    /** Whether reads fail. */
    @Volatile
    var down: Boolean = false

    /** Adds [host] or replaces its entry. */
    fun put(host: LiveHost) = change { it + (host.id to host) }

    /** Marks the host [id] as leaving. */
    fun markLeaving(id: HostId) = change { hosts ->
        hosts.mapValues { (key, host) -> if (key == id) host.copy(leaving = true) else host }
    }

    /** Removes the host [id]. */
    fun remove(id: HostId) = change { it - id }

    override suspend fun hosts(): Either<String, List<LiveHost>> =
        if (down) "the live list is down".left() else visible().right()

    private fun change(edit: (Map<HostId, LiveHost>) -> Map<HostId, LiveHost>) = synchronized(versions) {
        latest = edit(latest)
        versions.addLast(Version(timeSource.markNow(), latest))
        dropOutdated()
    }

    private fun visible(): List<LiveHost> = synchronized(versions) {
        dropOutdated()
        val version = versions.firstOrNull()?.takeIf { it.at.elapsedNow() >= lag }
        version?.hosts?.values?.toList().orEmpty()
    }

    /** Removes the versions superseded by a later version that is already visible. */
    private fun dropOutdated() {
        while (versions.size > 1 && versions[1].at.elapsedNow() >= lag) versions.removeFirst()
    }
}
