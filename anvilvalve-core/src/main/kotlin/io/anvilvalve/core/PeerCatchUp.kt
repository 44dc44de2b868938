package io.anvilvalve.core

import io.anvilvalve.api.id.HostId
import io.anvilvalve.api.id.LogOffset
import io.anvilvalve.api.log.Member
import io.anvilvalve.api.peer.PeerMessage
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Exchange of log records with peers while a host cannot read the log. */
internal class PeerCatchUp(private val follower: LogFollower, private val send: (Member, PeerMessage) -> Unit) {
    private val recent = RecentRecords()
    private val offsets = HashMap<HostId, LogOffset>()
    private var requestedAt = Duration.ZERO

    fun applied(offset: LogOffset, bytes: ByteArray) = recent.add(offset, bytes)

    fun recordAppliedOffset(host: HostId, appliedOffset: LogOffset) {
        offsets[host] = appliedOffset
    }

    /** If the log is unreadable, requests records from the peer that is furthest ahead of this host, if any. */
    fun tick(reachable: List<Member>, now: Duration) {
        if (follower.logReadable || now - requestedAt < REQUEST_INTERVAL) return
        val ahead = reachable
            .filter { (offsets[it.host] ?: LogOffset(-1)) > follower.applied }
            .maxByOrNull { checkNotNull(offsets[it.host]) } ?: return
        requestedAt = now
        send(ahead, PeerMessage.RecordsRequest(follower.applied.next()))
    }

    /** Answers with records, or with a snapshot if [from] is not kept and the snapshot fits into a frame. */
    fun answer(to: Member, from: LogOffset, snapshot: () -> ByteArray) {
        val records = recent.from(from, MAX_REPLY_BYTES)
        if (records != null) {
            if (records.isNotEmpty()) send(to, PeerMessage.Records(from, records))
            return
        }
        val bytes = snapshot()
        if (bytes.size <= MAX_SNAPSHOT_BYTES) {
            val covered = follower.applied
            send(to, PeerMessage.Records(covered.next(), emptyList(), covered, bytes))
        }
    }

    companion object {
        val REQUEST_INTERVAL = 500.milliseconds
        const val MAX_REPLY_BYTES = 256 * 1024

        /** A frame is limited to 1 MB. */
        const val MAX_SNAPSHOT_BYTES = 900 * 1024
    }
}
