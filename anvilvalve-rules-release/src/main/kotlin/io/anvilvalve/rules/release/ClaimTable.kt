package io.anvilvalve.rules.release

import io.anvilvalve.api.id.ClaimId
import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.log.Claim
import io.anvilvalve.api.log.KeptReply
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Identity of a non-repeatable call. */
internal data class CallId(val organisation: OrganisationId, val callKey: String)

internal val Claim.call: CallId get() = CallId(organisation, callKey)

/**
 * Winning claim and reply of each call, in log order.
 *
 * A claim is retained for [ttl] after the last record that named its call, including records of losing claims. Two
 * claims of one call can therefore both win only if [ttl] passes between them by a host's clock, even though hosts
 * evict entries at different times.
 */
internal class ClaimTable(private val ttl: Duration, private val maxTotalBodyBytes: Int = MAX_TOTAL_BODY_BYTES) {
    internal class Entry(val claim: Claim, var reply: KeptReply?, var touchedAt: Duration)

    private val entries = LinkedHashMap<CallId, Entry>()
    private val calls = HashMap<ClaimId, CallId>()
    private val abandoned = LinkedHashMap<ClaimId, Duration>()
    private val bodies = ArrayDeque<Entry>()
    private var bodyBytes = 0

    operator fun get(call: CallId): Entry? = entries[call]

    /**
     * Applies a claim; returns the winning entry, or null if the claim was already abandoned and the call has no
     * winner.
     */
    fun claim(claim: Claim, now: Duration): Entry? {
        val winner = entries[claim.call]
        if (winner == null && claim.id in abandoned) return null
        val entry = winner ?: Entry(claim, reply = null, now).also { calls[claim.id] = claim.call }
        touch(entry, now)
        return entry
    }

    /**
     * Applies an abandonment; returns the call that became free, or null if the claim is not the winner or has a reply.
     */
    fun abandon(id: ClaimId, now: Duration): CallId? {
        val call = calls[id]
        if (call != null && entries.getValue(call).reply != null) return null
        abandoned.remove(id)
        abandoned[id] = now
        if (call != null) evict(call)
        return call
    }

    /**
     * Applies a reply; the first reply is final, except that any reply replaces an unknown outcome.
     *
     * Returns the call of the claim, or null if the claim is not the winner.
     */
    fun settle(id: ClaimId, reply: KeptReply, now: Duration): CallId? {
        val call = calls[id] ?: return null
        val entry = entries.getValue(call)
        if (entry.reply == null || entry.reply.isUnknown) keepReply(entry, reply.bounded())
        touch(entry, now)
        return call
    }

    /** Evicts entries older than [ttl]. */
    fun expire(now: Duration) {
        while (entries.isNotEmpty() && now - entries.values.first().touchedAt > ttl) evict(entries.keys.first())
        while (abandoned.isNotEmpty() && now - abandoned.values.first() > ttl) abandoned.remove(abandoned.keys.first())
    }

    fun restore(state: ReleaseSnapshot, now: Duration) {
        entries.clear()
        calls.clear()
        abandoned.clear()
        bodies.clear()
        bodyBytes = 0
        state.claims.sortedByDescending { it.ageMillis }.forEach { kept ->
            val entry = Entry(kept.claim, reply = null, now - kept.ageMillis.milliseconds)
            entries[kept.claim.call] = entry
            calls[kept.claim.id] = kept.claim.call
            kept.reply?.let { keepReply(entry, it.bounded()) }
        }
        state.abandonedClaims.entries.sortedByDescending { it.value }
            .forEach { (id, age) -> abandoned[id] = now - age.milliseconds }
    }

    fun keptClaims(now: Duration): List<KeptClaim> =
        entries.values.map { KeptClaim(it.claim, it.reply, (now - it.touchedAt).inWholeMilliseconds) }

    fun abandonedClaims(now: Duration): Map<ClaimId, Long> = abandoned.mapValues {
        (now - it.value).inWholeMilliseconds
    }

    private fun touch(entry: Entry, now: Duration) {
        entry.touchedAt = now
        entries.remove(entry.claim.call)
        entries[entry.claim.call] = entry
    }

    private fun evict(call: CallId) {
        val entry = entries.remove(call) ?: return
        calls.remove(entry.claim.id)
        if (bodies.remove(entry)) bodyBytes -= entry.reply.bodySize
    }

    /** Stores [reply] and drops the oldest bodies while they exceed the memory limit [maxTotalBodyBytes]. */
    private fun keepReply(entry: Entry, reply: KeptReply) {
        entry.reply = reply
        if (reply.bodySize == 0) return
        bodies += entry
        bodyBytes += reply.bodySize
        while (bodyBytes > maxTotalBodyBytes) {
            val oldest = bodies.removeFirst()
            bodyBytes -= oldest.reply.bodySize
            oldest.reply = oldest.reply?.withoutBody()
        }
    }

    private companion object {
        /** A quarter of the memory budget of a host's control logic at the target size. */
        const val MAX_TOTAL_BODY_BYTES = 16 * 1024 * 1024
    }
}
