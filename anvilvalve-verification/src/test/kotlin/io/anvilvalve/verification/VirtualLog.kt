package io.anvilvalve.verification

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.anvilvalve.api.id.LogOffset
import io.anvilvalve.api.log.LogCodec
import io.anvilvalve.api.log.LogRecord
import io.anvilvalve.api.port.LogFault
import io.anvilvalve.api.port.LogPage
import io.anvilvalve.api.port.StoredRecord
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Simulates the log of the platform in virtual time, with outages, high latency and lost answers. */
internal class VirtualLog(private val queue: EventQueue) {
    private val records = ArrayList<ByteArray>()
    private val pendingReads = ArrayList<() -> Unit>()
    private var firstRetained = 0L

    var unavailable = false
    var latency = 5.milliseconds

    /** Number of next appends that take effect but whose answer is lost. */
    var answersToLose = 0

    val size: Int get() = records.size

    fun append(batch: List<LogRecord>, answer: (Either<LogFault, LogOffset>) -> Unit) = queue.schedule(latency) {
        if (unavailable) {
            queue.schedule(TIMEOUT) { answer(LogFault.Unavailable("down").left()) }
        } else {
            val first = LogOffset(records.size.toLong())
            batch.mapTo(records) { LogCodec.encode(it) }
            completePendingReads()
            if (answersToLose > 0) {
                answersToLose--
                queue.schedule(TIMEOUT) { answer(LogFault.Unavailable("answer lost").left()) }
            } else {
                queue.schedule(latency) { answer(first.right()) }
            }
        }
    }

    fun read(from: LogOffset, answer: (Either<LogFault, LogPage>) -> Unit) = queue.schedule(latency) {
        when {
            unavailable -> queue.schedule(TIMEOUT) { answer(LogFault.Unavailable("down").left()) }
            from.value < records.size || from.value < firstRetained -> queue.schedule(latency) { answer(page(from)) }
            else -> longPoll(from, answer)
        }
    }

    /** Drops all records before [offset]. */
    fun truncate(offset: Long) {
        firstRetained = offset
    }

    private fun longPoll(from: LogOffset, answer: (Either<LogFault, LogPage>) -> Unit) {
        var done = false
        val complete = {
            if (!done) {
                done = true
                queue.schedule(latency) { answer(if (unavailable) LogFault.Unavailable("down").left() else page(from)) }
            }
        }
        pendingReads += complete
        queue.schedule(LONG_POLL, complete)
    }

    private fun completePendingReads() {
        val pending = pendingReads.toList()
        pendingReads.clear()
        pending.forEach { it() }
    }

    private fun page(from: LogOffset): Either<LogFault, LogPage> {
        val start = maxOf(from.value, firstRetained)
        val end = minOf(records.size.toLong(), start + PAGE_SIZE)
        val stored = (start until end).map { StoredRecord(LogOffset(it), records[it.toInt()]) }
        return LogPage(LogOffset(firstRetained), LogOffset(records.size.toLong()), stored).right()
    }

    companion object {
        val TIMEOUT: Duration = 1.seconds
        val LONG_POLL: Duration = 1.seconds
        const val PAGE_SIZE = 500
    }
}
