package io.anvilvalve.core

import io.anvilvalve.api.RendezvousHash
import io.anvilvalve.api.id.HostId
import io.anvilvalve.api.id.LogOffset
import io.anvilvalve.api.log.LogRecord
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/**
 * Decides when this host writes a snapshot.
 *
 * Hosts are ranked by rendezvous hashing and wait longer the lower their rank, so that usually one host writes and a
 * failed writer is replaced. Two writers cost one duplicate snapshot.
 */
internal class SnapshotSchedule(private val self: HostId) {
    private var covered = LogOffset(-1)
    private var seenAt = Duration.ZERO
    private var records = 0
    private var bytes = 0L
    private var dueSince: Duration? = null

    fun applied(record: LogRecord, size: Int) {
        if (record is LogRecord.SnapshotChunk) return
        records += 1
        bytes += size
    }

    fun snapshotSeen(snapshotCovers: LogOffset, now: Duration) {
        if (snapshotCovers <= covered) return
        covered = snapshotCovers
        seenAt = now
        records = 0
        bytes = 0
        dueSince = null
    }

    fun isDue(hosts: List<HostId>, now: Duration): Boolean {
        val overLimit = records >= MAX_RECORDS || bytes >= MAX_BYTES || (records > 0 && now - seenAt >= MAX_INTERVAL)
        if (!overLimit) return false
        val since = dueSince ?: now.also { dueSince = it }
        val rank = RendezvousHash.rank("snapshot-$covered", hosts.map { it.value }).indexOf(self.value)
        return rank >= 0 && now - since >= RANK_DELAY * rank
    }

    /** Restarts the wait after this host has requested an append, in case the append is lost. */
    fun appendRequested(now: Duration) {
        dueSince = now + RETRY_DELAY
    }

    companion object {
        const val MAX_RECORDS = 2_000
        const val MAX_BYTES = 4_000_000L
        val MAX_INTERVAL = 10.minutes
        val RANK_DELAY = 15.seconds
        val RETRY_DELAY = 60.seconds
    }
}
