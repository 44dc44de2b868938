package io.anvilvalve.cli

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.anvilvalve.api.BinaryCodec
import io.anvilvalve.api.id.LogOffset
import io.anvilvalve.api.log.LogCodec
import io.anvilvalve.api.log.LogRecord
import io.anvilvalve.api.port.LogFault
import io.anvilvalve.api.port.LogPage
import io.anvilvalve.api.port.LogService
import io.anvilvalve.rules.release.ReleaseSnapshot
import io.anvilvalve.rules.release.SnapshotCodec
import kotlinx.serialization.Serializable
import kotlin.time.Duration

/** Reads the log to its tail and rebuilds the release state from the newest snapshot and the records after it. */
internal class LogReader(private val log: LogService) {
    /** Part of the hosts' snapshots that the client needs; other fields are skipped. */
    @Serializable
    private data class StoredState(val release: ReleaseSnapshot)

    /** Returns the state at the tail, or the reason why the log cannot be read. */
    suspend fun read(): Either<String, LogView> {
        val records = sortedMapOf<Long, LogRecord>()
        return readTo(LogOffset(0)) { offset, record -> records[offset.value] = record }
            .flatMap { firstRetained -> rebuild(firstRetained, records) }
    }

    /** Applies the records after those in [view] and returns it; reads the whole log again if it was truncated. */
    suspend fun catchUp(view: LogView): Either<String, LogView> {
        val next = view.applied.next()
        val firstRetained = readTo(next) { offset, record -> view.apply(offset, record) }
        return firstRetained.flatMap { if (it > next) read() else view.right() }
    }

    /** Reads from [start] to the tail and returns the oldest retained offset. */
    private suspend fun readTo(start: LogOffset, onRecord: (LogOffset, LogRecord) -> Unit): Either<String, LogOffset> {
        var next = start
        while (true) {
            val page = readPage(next).fold({ return it.left() }, { it })
            page.records.forEach { stored -> LogCodec.decode(stored.data).onRight { onRecord(stored.offset, it) } }
            next = page.records.lastOrNull()?.offset?.next() ?: maxOf(next, page.firstRetained)
            if (next >= page.end) return page.firstRetained.right()
            if (page.records.isEmpty()) return "the log service returned no records before the end of the log".left()
        }
    }

    private suspend fun readPage(from: LogOffset): Either<String, LogPage> {
        val result = log.read(from, PAGE_RECORDS, Duration.ZERO)
        val fault = result.leftOrNull()
        return if (fault is LogFault.Truncated) {
            log.read(fault.firstRetained, PAGE_RECORDS, Duration.ZERO).mapLeft(::describe)
        } else {
            result.mapLeft(::describe)
        }
    }

    private fun rebuild(firstRetained: LogOffset, records: Map<Long, LogRecord>): Either<String, LogView> {
        val view = LogView()
        if (firstRetained.value > 0) {
            val (covered, state) = newestSnapshot(records.values)
                ?: return "the log starts at offset $firstRetained and has no complete snapshot".left()
            if (covered.next() < firstRetained) return "the newest snapshot ends before the retained log".left()
            view.restore(covered, state)
        }
        records.forEach { (offset, record) -> view.apply(LogOffset(offset), record) }
        return view.right()
    }

    private fun newestSnapshot(records: Collection<LogRecord>): Pair<LogOffset, ReleaseSnapshot>? {
        val codec = SnapshotCodec()
        return records.filterIsInstance<LogRecord.SnapshotChunk>()
            .mapNotNull { codec.offer(it) }
            .mapNotNull { snapshot ->
                BinaryCodec.decode(StoredState.serializer(), snapshot.bytes).getOrNull()
                    ?.let { snapshot.covered to it.release }
            }
            .maxByOrNull { it.first }
    }

    companion object {
        private const val PAGE_RECORDS = 1_000

        fun describe(fault: LogFault): String = when (fault) {
            is LogFault.RateLimited -> "the log service refused the call because of its rate limit"
            is LogFault.Unavailable -> "the log service is unavailable: ${fault.reason}"
            is LogFault.Truncated -> "the log was truncated up to offset ${fault.firstRetained} while it was read"
        }
    }
}
