package io.anvilvalve.core

import io.anvilvalve.api.BinaryCodec
import io.anvilvalve.api.id.HostId
import io.anvilvalve.api.id.LogOffset
import io.anvilvalve.api.log.LogRecord
import io.anvilvalve.api.log.Member
import io.anvilvalve.api.result.LogEvent
import io.anvilvalve.rules.release.SnapshotCodec

/** Writes snapshots of the host's state to the log and reads those of other hosts. */
internal class Snapshots(private val self: Member, private val out: Outbox, private val state: () -> HostSnapshot) {
    private val codec = SnapshotCodec()
    private val schedule = SnapshotSchedule(self.host)

    fun applied(record: LogRecord, size: Int) = schedule.applied(record, size)

    /** Adds a chunk; returns the covered offset and the state when the chunk completes a snapshot. */
    fun offer(chunk: LogRecord.SnapshotChunk): Pair<LogOffset, HostSnapshot>? {
        val snapshot = codec.offer(chunk) ?: return null
        schedule.snapshotSeen(snapshot.covered, out.now)
        return decode(snapshot.covered, snapshot.bytes)?.let { snapshot.covered to it }
    }

    fun encode(): ByteArray = BinaryCodec.encode(HostSnapshot.serializer(), state())

    fun decode(covered: LogOffset, bytes: ByteArray): HostSnapshot? =
        BinaryCodec.decode(HostSnapshot.serializer(), bytes)
            .onLeft { out.log(LogEvent.SNAPSHOT_IGNORED, "covered" to covered, "reason" to it) }
            .getOrNull()

    fun writeIfDue(hosts: List<HostId>, applied: LogOffset) {
        if (!schedule.isDue(hosts, out.now)) return
        schedule.appendRequested(out.now)
        val chunks = codec.split("${self.incarnation}-$applied", applied, encode())
        chunks.forEach { out.emit(HostEffect.AppendToLog(listOf(it))) }
        out.log(LogEvent.SNAPSHOT_WRITTEN, "covered" to applied, "chunks" to chunks.size)
    }
}
