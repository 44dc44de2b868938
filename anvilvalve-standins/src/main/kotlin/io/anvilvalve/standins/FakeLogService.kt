package io.anvilvalve.standins

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.anvilvalve.api.id.LogOffset
import io.anvilvalve.api.port.LogFault
import io.anvilvalve.api.port.LogPage
import io.anvilvalve.api.port.LogService
import io.anvilvalve.api.port.StoredRecord
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.combine
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration
import kotlin.time.DurationUnit
import kotlin.time.TimeSource

/** In-memory append-only log with the limits and faults of the platform's log service; thread-safe. */
class FakeLogService(
    private val config: LogServiceConfig = LogServiceConfig(),
    private val timeSource: TimeSource = TimeSource.Monotonic,
) : LogService {
    /** Faults to inject. */
    val faults = LogServiceFaults()

    private val lock = Any()
    private val stored = ArrayDeque<StoredRecord>()
    private val end = MutableStateFlow(0L)
    private var availableAppends = config.appendBurst.toDouble()
    private var refilledAt = timeSource.markNow()

    /** Offset that the next append will get. */
    val endOffset: LogOffset get() = LogOffset(end.value)

    override suspend fun append(records: List<ByteArray>): Either<LogFault, LogOffset> {
        applyDelay()
        if (faults.down) return unavailable("outage")
        if (faults.lostAppends.consume()) return unavailable("connection closed")
        val first = synchronized(lock) { if (tryAcquireAppend()) store(records) else null }
        if (first == null) return LogFault.RateLimited.left()
        if (faults.lostAnswers.consume() || faults.down) return unavailable("connection closed")
        return first.right()
    }

    override suspend fun read(from: LogOffset, limit: Int, wait: Duration): Either<LogFault, LogPage> {
        applyDelay()
        if (!faults.down && end.value <= from.value) awaitChange(from, wait)
        if (faults.down) return unavailable("outage")
        return synchronized(lock) { page(from, limit) }
    }

    /** Removes all records before [offset], as the retention of the log service does. */
    fun truncateBefore(offset: LogOffset) = synchronized(lock) {
        while (stored.isNotEmpty() && stored.first().offset < offset) stored.removeFirst()
    }

    private suspend fun applyDelay() {
        if (faults.delay > Duration.ZERO) delay(faults.delay)
    }

    private suspend fun awaitChange(from: LogOffset, wait: Duration) {
        withTimeoutOrNull(wait) {
            end.combine(faults.downState) { end, down -> down || end > from.value }.first { it }
        }
    }

    private fun tryAcquireAppend(): Boolean {
        val refill = refilledAt.elapsedNow().toDouble(DurationUnit.SECONDS) * config.appendsPerSecond
        refilledAt = timeSource.markNow()
        availableAppends = minOf(config.appendBurst.toDouble(), availableAppends + refill)
        if (availableAppends < 1) return false
        availableAppends -= 1
        return true
    }

    private fun store(records: List<ByteArray>): LogOffset {
        val first = LogOffset(end.value)
        records.forEachIndexed { index, data -> stored.addLast(StoredRecord(LogOffset(first.value + index), data)) }
        while (stored.size > config.retainedRecords) stored.removeFirst()
        end.value = first.value + records.size
        return first
    }

    private fun page(from: LogOffset, limit: Int): Either<LogFault, LogPage> {
        val firstRetained = stored.firstOrNull()?.offset ?: endOffset
        if (maxOf(from, LogOffset(0)) < firstRetained) return LogFault.Truncated(firstRetained).left()
        val skip = (from.value - firstRetained.value).coerceIn(0, stored.size.toLong()).toInt()
        val records = stored.subList(skip, minOf(stored.size, skip + limit)).toList()
        return LogPage(firstRetained, endOffset, records).right()
    }

    private fun unavailable(reason: String): Either<LogFault, Nothing> = LogFault.Unavailable(reason).left()
}
