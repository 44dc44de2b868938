package io.anvilvalve.core

import arrow.core.Either
import io.anvilvalve.api.id.LogOffset
import io.anvilvalve.api.log.LogCodec
import io.anvilvalve.api.log.LogRecord
import io.anvilvalve.api.port.LogFault
import io.anvilvalve.api.port.LogPage
import io.anvilvalve.api.port.StoredRecord
import io.anvilvalve.api.result.LogEvent
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Applies the records of the log in order; the applied offset never decreases.
 *
 * A host whose next record is no longer retained scans the retained log for the newest complete snapshot, restores it
 * and continues after the offset that the snapshot covers.
 */
internal class LogFollower(private val out: Outbox, private val random: Random, private val sink: Sink) {
    /** Receives the records and the read outcomes of the follower. */
    interface Sink {
        fun apply(offset: LogOffset, record: LogRecord, bytes: ByteArray)

        /** Offers a chunk during a scan; returns the covered offset when a newer snapshot was restored. */
        fun offerSnapshot(offset: LogOffset, chunk: LogRecord.SnapshotChunk): LogOffset?

        fun tailReached(sentAt: Duration)

        fun failed()
    }

    private enum class Mode {
        FOLLOW,
        SCAN,
    }

    private var mode = Mode.FOLLOW
    private var scanned = LogOffset(-1)
    private var restored: LogOffset? = null
    private var failures = 0

    /** Last offset whose record has been applied, or that a restored snapshot covers. */
    var applied = LogOffset(-1)
        private set

    /** Whether the state has reached the tail of the log at least once since the start. */
    var caughtUp = false
        private set

    val logReadable: Boolean get() = failures == 0 && caughtUp

    fun start() = read(Duration.ZERO)

    fun onRead(sentAt: Duration, result: Either<LogFault, LogPage>) {
        result.fold(ifLeft = ::onFault, ifRight = { onPage(sentAt, it) })
    }

    /** Applies consecutive records from a peer and skips those that are already applied. */
    fun onPeerRecords(from: LogOffset, records: List<ByteArray>) {
        if (mode == Mode.SCAN || from > applied.next()) return
        records.forEachIndexed { i, bytes -> applyRecord(StoredRecord(LogOffset(from.value + i), bytes)) }
    }

    /** Advances [applied] to [covered] for a snapshot restore; returns false if [covered] is not ahead. */
    fun advanceTo(covered: LogOffset): Boolean {
        if (covered <= applied) return false
        applied = covered
        return true
    }

    private fun onFault(fault: LogFault) {
        if (fault is LogFault.Truncated) {
            startScan(fault.firstRetained)
            read(Duration.ZERO)
            return
        }
        if (failures == 0) out.log(LogEvent.LOG_UNREADABLE, "reason" to fault)
        failures += 1
        sink.failed()
        read(backOff())
    }

    private fun onPage(sentAt: Duration, page: LogPage) {
        val recovered = failures > 0
        if (recovered) out.log(LogEvent.LOG_READABLE, "end" to page.end)
        failures = 0
        when {
            page.firstRetained > next() -> startScan(page.firstRetained)
            mode == Mode.SCAN -> scan(page)
            else -> follow(sentAt, page)
        }
        when {
            failures > 0 -> read(MAX_BACK_OFF)
            recovered -> read(random.nextLong(CATCH_UP_JITTER.inWholeMilliseconds).milliseconds)
            else -> read(Duration.ZERO)
        }
    }

    private fun follow(sentAt: Duration, page: LogPage) {
        page.records.forEach(::applyRecord)
        if (applied.next() == page.end) {
            caughtUp = true
            sink.tailReached(sentAt)
        }
    }

    private fun applyRecord(stored: StoredRecord) {
        if (stored.offset != applied.next()) return
        applied = stored.offset
        LogCodec.decode(stored.data).fold(
            ifLeft = { out.log(LogEvent.RECORD_UNREADABLE, "offset" to stored.offset, "reason" to it) },
            ifRight = { sink.apply(stored.offset, it, stored.data) },
        )
    }

    private fun startScan(firstRetained: LogOffset) {
        mode = Mode.SCAN
        restored = null
        scanned = LogOffset(firstRetained.value - 1)
    }

    private fun scan(page: LogPage) {
        for (stored in page.records) {
            if (stored.offset <= scanned) continue
            scanned = stored.offset
            val chunk = LogCodec.decode(stored.data).getOrNull() as? LogRecord.SnapshotChunk ?: continue
            sink.offerSnapshot(stored.offset, chunk)?.let { restored = it }
        }
        if (scanned.next() < page.end) return
        mode = Mode.FOLLOW
        if (restored == null) {
            failures += 1
            sink.failed()
        }
    }

    private fun next(): LogOffset = if (mode == Mode.SCAN) scanned.next() else applied.next()

    private fun backOff(): Duration {
        val limit = minOf(MIN_BACK_OFF * (1 shl minOf(failures, BACK_OFF_DOUBLINGS)), MAX_BACK_OFF)
        return limit / 2 + random.nextLong(limit.inWholeMilliseconds / 2 + 1).milliseconds
    }

    private fun read(delay: Duration) = out.emit(HostEffect.ReadLog(next(), delay))

    companion object {
        val MIN_BACK_OFF = 50.milliseconds
        val MAX_BACK_OFF = 5.seconds
        const val BACK_OFF_DOUBLINGS = 7

        /** Spreads the hosts' reads over time after a log outage. */
        val CATCH_UP_JITTER = 2.seconds
    }
}
