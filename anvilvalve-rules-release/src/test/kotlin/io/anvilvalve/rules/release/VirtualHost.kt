package io.anvilvalve.rules.release

import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.id.LogOffset
import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.log.Claim
import io.anvilvalve.api.log.KeptReply
import io.anvilvalve.api.log.LogRecord
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** One process of the virtual fleet: runs the rules and performs their effects with injected faults. */
internal class VirtualHost(val incarnation: Incarnation, private val fleet: VirtualFleet, private val bug: SeededBug?) {
    val rules = ReleaseRules(incarnation, seed = incarnation.hashCode().toLong())
    val calls = LinkedHashMap<RequestId, String>()
    var isAlive = true
    var pausedUntil = Duration.ZERO
    private var position = 0

    val isActive: Boolean get() = isAlive && fleet.now >= pausedUntil

    fun request(id: RequestId, request: ClaimRequest) {
        calls[id] = request.idempotencyKey
        reduce(ReleaseEvent.ClaimRequested(id, request))
        if (bug == SeededBug.RUN_BEFORE_READ_BACK) fleet.checker.run(id, request.idempotencyKey)
    }

    /** Reads up to [limit] records, as from one log answer. */
    fun poll(limit: Int) {
        if (!isActive || fleet.isLogDown) return
        val until = minOf(fleet.records.size, position + limit)
        while (position < until && isActive) {
            val record = fleet.records[position]
            val offset = LogOffset(position++.toLong())
            if (bug == SeededBug.SKIPPED_NOTE && record is LogRecord.Note && offset.value > 2) continue
            reduce(ReleaseEvent.RecordApplied(offset, record))
            fleet.checker.applied(offset, rules.release)
        }
        if (position == fleet.records.size && isActive) reduce(ReleaseEvent.TailReached)
    }

    fun restore(other: VirtualHost) {
        if (other.position <= position) return
        position = other.position
        val state = other.rules.snapshot()
        reduce(ReleaseEvent.Restored(LogOffset(position - 1L), state))
    }

    fun reduce(event: ReleaseEvent) {
        if (!isAlive) return
        rules.reduce(event, fleet.now).forEach { if (isAlive) perform(it) }
    }

    private fun perform(effect: ReleaseEffect) {
        when (effect) {
            is ReleaseEffect.Append -> append(effect.records)

            is ReleaseEffect.ClaimWon -> call(effect.id)

            is ReleaseEffect.ClaimReplayed -> {
                val reply = if (bug == SeededBug.WRONG_REPLAY) KeptReply(200, "", byteArrayOf(1)) else effect.reply
                fleet.checker.replayed(effect.id, calls.getValue(effect.id), reply)
            }

            is ReleaseEffect.ClaimRefused -> fleet.checker.refused(effect.id, effect.code, knowsRun(effect.id))

            is ReleaseEffect.KeyWithdrawn -> fleet.broadcastWithdrawal(this, effect.hash)

            else -> Unit
        }
    }

    /** Whether the records that this host has applied show a reply for the call of [id]. */
    private fun knowsRun(id: RequestId): Boolean {
        val applied = fleet.records.take(position)
        val key = IdempotencyKeys.callKey(fleet.claimRequest(calls.getValue(id)))
        val claims = applied.filterIsInstance<LogRecord.Claims>().flatMap { it.claims }.filter { it.callKey == key }
        val ids = claims.map(Claim::id)
        return applied.any { it is LogRecord.ClaimOutcome && it.claim in ids && !it.reply.isUnknown }
    }

    fun append(records: List<LogRecord>) {
        val fault = records.mapNotNull(::injectionPointOf).firstNotNullOfOrNull { fleet.faults.next(it) }
        when {
            fault == Fault.OUTAGE -> fleet.outage(OUTAGE_DURATION)
            fault == Fault.PAUSE -> pausedUntil = fleet.now + PAUSE_DURATION
            fault == Fault.CRASH -> isAlive = false
        }
        val isAppended = !fleet.isLogDown && fault !in setOf(Fault.LOST_REQUEST, Fault.REFUSED, Fault.DELAYED)
        if (isAppended) fleet.records += records
        if (fault == Fault.DELAYED || fault == Fault.DUPLICATED) fleet.appendLater(records)
        val answered = isAppended && fault != Fault.LOST_ANSWER
        if (!answered) {
            fleet.after(DELAY) { reduce(ReleaseEvent.AppendFailed(records, mayHaveHappened = fault != Fault.REFUSED)) }
        }
    }

    /** Sends the call after [DELAY], since the daemon also sends it asynchronously. */
    private fun call(id: RequestId) = fleet.after(DELAY) {
        if (!isAlive) return@after
        val key = calls.getValue(id)
        when (fleet.faults.next(InjectionPoint.CALL)) {
            Fault.CRASH -> isAlive = false

            Fault.REFUSED, Fault.LOST_REQUEST -> {
                if (bug == SeededBug.NOT_RUN_AFTER_RUN) fleet.checker.run(id, key)
                fleet.checker.refused(id, io.anvilvalve.api.result.ResultCode.BACKEND_REFUSED, isKnownToHaveRun = false)
                reduce(ReleaseEvent.ClaimGivenUp(id, sent = false))
            }

            else -> {
                val reply = fleet.checker.run(id, key)
                if (bug == SeededBug.RUN_TWICE) fleet.checker.run(id, key)
                fleet.after(DELAY) { reply(id, reply) }
            }
        }
    }

    private fun reply(id: RequestId, reply: KeptReply) {
        if (!isAlive) return
        when (fleet.faults.next(InjectionPoint.REPLY)) {
            Fault.CRASH -> isAlive = false

            Fault.LOST_ANSWER, Fault.LOST_REQUEST, Fault.REFUSED -> {
                fleet.checker.answered(id, "failed")
                reduce(ReleaseEvent.ClaimGivenUp(id, sent = true))
            }

            Fault.DELAYED -> {
                fleet.checker.answered(id, "failed")
                reduce(ReleaseEvent.ClaimGivenUp(id, sent = true))
                fleet.after(OUTAGE_DURATION) { reduce(ReleaseEvent.ClaimReplied(id, reply)) }
            }

            else -> {
                fleet.checker.answered(id, "replied")
                reduce(ReleaseEvent.ClaimReplied(id, reply))
            }
        }
    }

    companion object {
        val DELAY = 30.milliseconds
        val OUTAGE_DURATION = 6.seconds
        val PAUSE_DURATION = 8.seconds
    }
}
