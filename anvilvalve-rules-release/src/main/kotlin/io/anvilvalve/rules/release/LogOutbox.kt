package io.anvilvalve.rules.release

import io.anvilvalve.api.log.Claim
import io.anvilvalve.api.log.LogRecord
import kotlin.time.Duration

/**
 * Records that this host appends to the log and retries until it reads them back.
 *
 * Appending any of these records more than once is harmless. After a lost answer, a record is appended again only if
 * a read up to the log tail did not return it.
 */
internal class LogOutbox(private val times: ReleaseTimes) {
    /** Output of one flush: [records] for one log append, and [forwarded] claims for the host that appends them. */
    class Batch(val records: List<LogRecord>, val forwarded: List<Claim>)

    private enum class Status { QUEUED, SENT, UNCERTAIN }

    private class Item(val record: LogRecord?, val claim: Claim?, var due: Duration) {
        var status = Status.QUEUED
        var attempts = 0
        var sentAt: Duration = -Duration.INFINITE
    }

    private val items = LinkedHashMap<String, Item>()
    private var lastFlush = -Duration.INFINITE

    /** Claims received from other hosts; not retried here, because their owners retry them. */
    private val peerClaims = ArrayDeque<Claim>()

    /** Queues [record] for appending from [due] on until it is confirmed; does nothing if it is already queued. */
    fun add(record: LogRecord, due: Duration) {
        items.getOrPut(keyOf(record)) { Item(record, claim = null, due) }
    }

    fun add(claim: Claim, due: Duration) {
        items.getOrPut(keyOf(claim)) { Item(record = null, claim, due) }
    }

    fun addPeerClaims(claims: List<Claim>) {
        peerClaims += claims.take(MAX_PEER_CLAIMS - peerClaims.size)
    }

    /** Removes a record that was read back from the log. */
    fun confirm(record: LogRecord) {
        items.remove(keyOf(record))
    }

    fun confirm(claim: Claim) {
        items.remove(keyOf(claim))
    }

    /** Removes a claim; returns true if it may already be in the log or reach it later. */
    fun drop(claim: Claim): Boolean = items.remove(keyOf(claim))?.let { it.attempts > 0 } ?: true

    /** Schedules a retry of [records], whose append failed. */
    fun appendFailed(records: List<LogRecord>, mayHaveHappened: Boolean, now: Duration) {
        records.flatMap { keysOf(it) }.mapNotNull { items[it] }.filter { it.status == Status.SENT }.forEach {
            it.status = if (mayHaveHappened) Status.UNCERTAIN else Status.QUEUED
            it.due = now + backoff(it.attempts)
        }
    }

    /** Handles a read up to the log tail: uncertain records that were not read back may be appended again. */
    fun tailReached(now: Duration) {
        items.values.forEach {
            if (it.status == Status.SENT && now - it.sentAt > times.appendTimeout) it.status = Status.UNCERTAIN
            if (it.status == Status.UNCERTAIN) it.status = Status.QUEUED
        }
    }

    /**
     * Returns the due records; if [forwardClaims] is set, the first attempt of a claim goes to the aggregating host.
     */
    fun flush(now: Duration, forwardClaims: Boolean): Batch {
        val interval = if (isLogSlow(now)) times.slowLogBatchInterval else times.claimBatchInterval
        if (now - lastFlush < interval) return Batch(emptyList(), emptyList())
        val due = items.values.filter { it.status == Status.QUEUED && it.due <= now }.take(MAX_ITEMS_PER_FLUSH)
        val forwarded = if (forwardClaims) due.filter { it.claim != null && it.attempts == 0 } else emptyList()
        due.forEach { markSent(it, now) }
        forwarded.forEach {
            it.status = Status.UNCERTAIN
            it.due = now + times.slowLogBatchInterval * 2
        }
        val claims = due.filterNot { it in forwarded }.mapNotNull { it.claim } + peerClaims
        peerClaims.clear()
        val records = due.mapNotNull { it.record } + claims.chunked(CLAIMS_PER_RECORD) { LogRecord.Claims(it.toList()) }
        if (due.isNotEmpty() || records.isNotEmpty()) lastFlush = now
        return Batch(records, forwarded.mapNotNull { it.claim })
    }

    private fun markSent(item: Item, now: Duration) {
        item.status = Status.SENT
        item.sentAt = now
        item.attempts++
    }

    private fun isLogSlow(now: Duration): Boolean =
        items.values.any { it.status == Status.SENT && now - it.sentAt > times.slowLogBatchInterval }

    private fun backoff(attempts: Int): Duration =
        (times.initialBackoff * (1 shl (attempts - 1).coerceIn(0, MAX_DOUBLINGS))).coerceAtMost(times.maxBackoff)

    private fun keysOf(record: LogRecord): List<String> = when (record) {
        is LogRecord.Claims -> record.claims.map { keyOf(it) }
        else -> listOf(keyOf(record))
    }

    private fun keyOf(claim: Claim): String = "claim ${claim.id}"

    /** An unknown outcome and a later reply of the same claim are separate records. */
    private fun keyOf(record: LogRecord): String = when (record) {
        is LogRecord.ClaimOutcome -> "outcome ${record.claim} ${record.reply.isUnknown}"
        is LogRecord.ClaimAbandoned -> "abandoned ${record.claim}"
        is LogRecord.KeyWithdrawn -> "withdrawn ${record.hash.hex}"
        is LogRecord.OrderLease -> "lease ${record.holder}"
        is LogRecord.OrderDone -> "done ${record.server} ${record.target}"
        else -> "other"
    }

    private companion object {
        const val MAX_DOUBLINGS = 10
        const val CLAIMS_PER_RECORD = 200
        const val MAX_ITEMS_PER_FLUSH = 1_000
        const val MAX_PEER_CLAIMS = 10_000
    }
}
