package io.anvilvalve.rules.routing

import io.anvilvalve.api.BinaryCodec
import io.anvilvalve.api.log.Member
import io.anvilvalve.api.result.LogEvent
import io.anvilvalve.api.routing.StatePage
import io.anvilvalve.api.routing.StoredEntry
import kotlin.time.Duration

/**
 * Keeps the entries of hosts in the store in line with the hosts that run, so that a start of all hosts does not count
 * replaced ones.
 *
 * The first alive host by rank removes the entries of hosts that have been silent for [RoutingTimes.ENTRY_EXPIRY], and
 * writes those of hosts that it hears. A host that runs on the other side of a cut gets its entry back in this way from
 * the first host of its side, and an entry that was written again shows that its host runs: it still counts.
 */
internal class HostEntries(private val out: Outbox, private val peers: Peers) {
    private var announcedAt: Duration? = null
    private var correctedAt: Duration? = null
    private var readAt: Duration? = null

    /** Whether the list of hosts should be read again. */
    val isReadDue: Boolean
        get() {
            val since = readAt?.let { out.now - it } ?: return false
            return when {
                peers.isFirstAlive -> since >= RoutingTimes.HOSTS_CHECK_INTERVAL || peers.hasGone
                else -> peers.isCut
            }
        }

    /** Applies a list of hosts; logs one line for all, because at a start a host reads the entries of the whole fleet. */
    fun apply(page: StatePage) {
        readAt = out.now
        val listed = page.entries.mapNotNull { entry -> decode(entry)?.let { Peers.Listed(it, entry.position) } }
        if (page.complete && listed.none { it.member.incarnation == peers.self.incarnation }) announce()
        val joined = peers.applyList(listed)
        if (page.complete) correct(listed)
        if (joined.isEmpty()) return
        val names = joined.take(MAX_LOGGED).joinToString { it.incarnation.value }
        out.log(LogEvent.MEMBER_JOINED, "members" to joined.size, "first" to names, "from" to "store")
    }

    /** Reads may lag behind writes, so an entry that was just written may be missing in them. */
    private fun announce() {
        if (announcedAt.isRecent()) return
        announcedAt = out.now
        out.emit(RoutingEffect.AnnounceHost)
    }

    private fun correct(listed: List<Peers.Listed>) {
        if (!peers.isFirstAlive || correctedAt.isRecent()) return
        val known = listed.mapTo(HashSet()) { it.member.host }
        val missing = peers.all.filter { peers.isHeard(it) && it.member.host !in known }.map { it.member }
        val gone = listed.filter { peers.isGone(it.member) }.take(MAX_REMOVED).map { it.member }
        if (missing.isEmpty() && gone.isEmpty()) return
        correctedAt = out.now
        log(LogEvent.HOST_ENTRIES_REMOVED, gone)
        log(LogEvent.HOST_ENTRIES_WRITTEN, missing)
        out.emit(RoutingEffect.CorrectHosts(missing.take(MAX_REMOVED), gone.map { it.host }))
    }

    private fun log(event: LogEvent, members: List<Member>) {
        if (members.isEmpty()) return
        val names = members.take(MAX_LOGGED).joinToString { it.incarnation.value }
        out.log(event, "members" to members.size, "first" to names)
    }

    private fun Duration?.isRecent() = this != null && out.now - this < RoutingTimes.HOSTS_READ_INTERVAL

    private fun decode(entry: StoredEntry): Member? = entry.value?.let { value ->
        BinaryCodec.decode(Member.serializer(), value)
            .onLeft { out.log(LogEvent.ENTRY_UNREADABLE, "host" to entry.key, "reason" to it) }
            .getOrNull()
    }

    private companion object {
        const val MAX_LOGGED = 5

        /** Writes per correction; with one every 2 s, a small part of the 400 writes a second that the store accepts. */
        const val MAX_REMOVED = 64
    }
}
