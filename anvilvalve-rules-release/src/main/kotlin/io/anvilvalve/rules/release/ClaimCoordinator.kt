package io.anvilvalve.rules.release

import io.anvilvalve.api.id.ClaimId
import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.log.Claim
import io.anvilvalve.api.log.KeptReply
import io.anvilvalve.api.log.LogRecord
import io.anvilvalve.api.result.ResultCode
import kotlin.time.Duration

/**
 * Coordinates the non-repeatable calls that this host received from callers.
 *
 * A call may be sent only in the step in which this host reads its own claim from the log as the winner while the
 * request is still waiting. A request that was already answered is no longer waiting, so its claim is abandoned if it
 * reaches the log later, and the call is not sent.
 */
internal class ClaimCoordinator(
    private val self: Incarnation,
    private val table: ClaimTable,
    private val outbox: LogOutbox,
    private val times: ReleaseTimes,
    private val isGone: (Incarnation) -> Boolean,
) {
    private class Waiter(val id: RequestId, val call: CallId, val digest: String, val deadline: Duration) {
        /** Undecided claim of this request, or null if the request waits for that of another request. */
        var claim: Claim? = null
    }

    private val waiting = LinkedHashMap<RequestId, Waiter>()
    private val claimants = HashMap<CallId, Waiter>()
    private val running = HashMap<RequestId, Claim>()

    /** Claims whose call was sent and still has no reply after the caller or the daemon gave up. */
    private val unanswered = LinkedHashMap<RequestId, Claim>()

    /** Replies that have not yet been read back from the log. */
    private val replies = HashMap<ClaimId, KeptReply>()
    private var wallMillis: Long? = null
    private var appendFailedAt: Duration? = null
    private var nextClaimNumber = 0L
    private var out = mutableListOf<ReleaseEffect>()

    /** Returns and clears the collected effects. */
    fun takeEffects(): List<ReleaseEffect> = out.also { out = mutableListOf() }

    fun request(id: RequestId, request: ClaimRequest, now: Duration) {
        val call = CallId(request.organisation, IdempotencyKeys.callKey(request))
        val waiter = Waiter(id, call, request.requestDigest, now + times.claimTimeout)
        val entry = table[call]
        val refusal = if (entry == null) refusalOf(request, call, now) else null
        if (refusal != null) {
            out += ReleaseEffect.ClaimRefused(id, refusal)
            return
        }
        waiting[id] = waiter
        if (entry != null) {
            answer(waiter, entry)
        } else if (call !in claimants) {
            claim(waiter, now)
        }
    }

    fun claimed(claims: List<Claim>, now: Duration) {
        claims.forEach { claim ->
            val entry = table.claim(claim, now)
            if (claim.owner == self) decide(claim, entry, now)
            answerWaiters(claim.call)
        }
    }

    fun abandoned(id: ClaimId, now: Duration) {
        outbox.confirm(LogRecord.ClaimAbandoned(id))
        table.abandon(id, now)?.let { claimAgain(it, now) }
    }

    fun settled(record: LogRecord.ClaimOutcome, now: Duration) {
        outbox.confirm(record)
        if (!record.reply.isUnknown || replies[record.claim].isUnknown) replies.remove(record.claim)
        table.settle(record.claim, record.reply, now)?.let { answerWaiters(it) }
    }

    fun replied(id: RequestId, reply: KeptReply, now: Duration) {
        val claim = running.remove(id) ?: unanswered.remove(id) ?: return
        publish(claim, reply.bounded(), now)
    }

    /**
     * Handles a request that the caller or the daemon gave up; [sent] is true if any byte of the call may have been
     * sent.
     */
    fun givenUp(id: RequestId, sent: Boolean, now: Duration) {
        val claim = running.remove(id)
        when {
            claim == null -> waiting[id]?.let { stopWaiting(it, now) }

            sent -> {
                unanswered[id] = claim
                if (unanswered.size > MAX_UNANSWERED) unanswered.remove(unanswered.keys.first())
                publish(claim, unknownOutcome(), now)
            }

            else -> abandon(claim, now)
        }
    }

    /**
     * Re-evaluates all waiting requests after the membership changed, a claim owner ended or a snapshot was restored.
     */
    fun reconsider(now: Duration) {
        waiting.values.toList().forEach { waiter ->
            val claim = waiter.claim
            val entry = table[waiter.call]
            when {
                claim != null && entry?.claim?.id == claim.id -> decide(claim, entry, now)
                claim == null && entry != null -> answer(waiter, entry)
                claim == null && waiter.call !in claimants -> claim(waiter, now)
            }
        }
    }

    fun logAppendFailed(now: Duration) {
        appendFailedAt = appendFailedAt ?: now
    }

    fun logTailReached() {
        appendFailedAt = null
    }

    fun tick(wallMillis: Long, now: Duration) {
        this.wallMillis = wallMillis
        waiting.values.filter { it.deadline <= now }.forEach { expire(it, now) }
        table.expire(now)
    }

    private fun refusalOf(request: ClaimRequest, call: CallId, now: Duration): ResultCode? {
        val wall = wallMillis ?: return ResultCode.NOT_READY
        return IdempotencyKeys.formFault(request.idempotencyKey)
            ?: IdempotencyKeys.ageFault(request.idempotencyKey, wall, times.claimRetention)
            ?: ResultCode.LOG_UNAVAILABLE.takeIf { appendFailedAt?.let { now - it > times.claimTimeout } == true }
            ?: ResultCode.IDEMPOTENCY_KEY_REUSED
                .takeIf { claimants[call]?.let { it.digest != request.requestDigest } == true }
    }

    private fun claim(waiter: Waiter, now: Duration) {
        val id = ClaimId("$self/${nextClaimNumber++}")
        val claim = Claim(id, self, waiter.call.organisation, waiter.call.callKey, waiter.digest)
        waiter.claim = claim
        claimants[waiter.call] = waiter
        outbox.add(claim, now)
    }

    /** Handles a claim of this host that was read from the log; [entry] is the winner of its call. */
    private fun decide(claim: Claim, entry: ClaimTable.Entry?, now: Duration) {
        outbox.confirm(claim)
        val waiter = claimants[claim.call]?.takeIf { it.claim?.id == claim.id }
        val won = entry?.claim?.id == claim.id && entry.reply == null
        when {
            waiter == null -> if (won && !isInFlight(claim.id)) abandon(claim, now)

            !won -> {
                detachClaim(waiter)
                if (entry != null) answer(waiter, entry)
            }

            waiter.deadline <= now -> expire(waiter, now)

            else -> {
                detachClaim(waiter)
                waiting.remove(waiter.id)
                running[waiter.id] = claim
                out += ReleaseEffect.ClaimWon(waiter.id)
            }
        }
    }

    private fun isInFlight(id: ClaimId): Boolean =
        id in replies || running.values.any { it.id == id } || unanswered.values.any { it.id == id }

    /** Answers a waiter from the winning claim of its call; the waiter keeps waiting if there is no reply yet. */
    private fun answer(waiter: Waiter, entry: ClaimTable.Entry) {
        val reply = entry.reply ?: replies[entry.claim.id]
        val code = when {
            entry.claim.requestDigest != waiter.digest -> ResultCode.IDEMPOTENCY_KEY_REUSED
            reply.isUnknown -> ResultCode.OUTCOME_UNKNOWN
            reply?.truncated == true -> ResultCode.OUTCOME_NOT_KEPT
            reply == null && isGone(entry.claim.owner) -> ResultCode.OUTCOME_UNKNOWN
            reply == null -> return
            else -> null
        }
        waiting.remove(waiter.id)
        out += if (code == null && reply != null) {
            ReleaseEffect.ClaimReplayed(waiter.id, reply)
        } else {
            ReleaseEffect.ClaimRefused(waiter.id, code ?: ResultCode.OUTCOME_UNKNOWN)
        }
    }

    private fun answerWaiters(call: CallId) {
        val entry = table[call] ?: return
        waiting.values.filter { it.call == call && it.claim == null }.forEach { answer(it, entry) }
    }

    /** Refuses a request whose deadline has passed; the code states whether another claim may have run the call. */
    private fun expire(waiter: Waiter, now: Duration) {
        val claim = waiter.claim
        val other = table[waiter.call]?.takeIf { it.claim.id != claim?.id }
        val mayRunElsewhere = claim == null || other != null
        stopWaiting(waiter, now)
        val code = if (mayRunElsewhere) ResultCode.CALL_IN_PROGRESS else ResultCode.LOG_UNAVAILABLE
        out += ReleaseEffect.ClaimRefused(waiter.id, code)
    }

    /** Removes a request whose call was not sent, abandons its claim and lets the next waiter claim the call. */
    private fun stopWaiting(waiter: Waiter, now: Duration) {
        waiting.remove(waiter.id)
        val claim = waiter.claim ?: return
        detachClaim(waiter)
        abandon(claim, now)
        claimAgain(waiter.call, now)
    }

    private fun detachClaim(waiter: Waiter) {
        waiter.claim = null
        claimants.remove(waiter.call)
    }

    /** Lets the first waiter claim the call if the call has neither a winner nor a claimant. */
    private fun claimAgain(call: CallId, now: Duration) {
        if (table[call] != null || call in claimants) return
        waiting.values.firstOrNull { it.call == call }?.let { claim(it, now) }
    }

    /** Abandons a claim whose call was not sent; the log needs a record only if the claim may have reached it. */
    private fun abandon(claim: Claim, now: Duration) {
        if (outbox.drop(claim)) outbox.add(LogRecord.ClaimAbandoned(claim.id), now)
    }

    private fun publish(claim: Claim, reply: KeptReply, now: Duration) {
        val record = LogRecord.ClaimOutcome(claim.id, reply)
        replies[claim.id] = reply
        outbox.add(record, now)
        answerWaiters(claim.call)
    }

    private companion object {
        const val MAX_UNANSWERED = 10_000
    }
}
