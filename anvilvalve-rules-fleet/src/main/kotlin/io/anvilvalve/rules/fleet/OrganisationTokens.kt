package io.anvilvalve.rules.fleet

import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.id.TransferId
import io.anvilvalve.api.peer.PeerMessage
import kotlin.time.Duration

/** Tokens of one organisation that the owners of its shares have granted to this host, and the pending requests. */
internal class OrganisationTokens(private val times: FleetTimes) {
    /**
     * A request sent to an owner at [at]. Its amount counts as pending only for [FleetTimes.tokenRequestTimeout]; a
     * later grant may still be spent until [FleetTimes.grantTtl] has passed.
     */
    private class PendingRequest(val key: ShareKey, val owner: Incarnation, val amount: Long, val at: Duration)

    private val lots = ArrayDeque<TokenLot>()
    private val pending = LinkedHashMap<TransferId, PendingRequest>()
    private val retryShareAt = HashMap<ShareKey, Duration>()

    private var prefetchPausedUntil = Duration.ZERO

    val demand = Demand()

    /** Whether the most recent grant carried no tokens. */
    var exhausted: Boolean = false
        private set

    /** Tokens to hold in advance; zero after a partial grant, so that hosts do not hoard scarce tokens. */
    fun prefetchTarget(now: Duration): Long =
        if (now < prefetchPausedUntil) 0 else demand.tokensPerSecond * times.prefetchSpan.inWholeMilliseconds / MILLIS

    fun available(): Long = lots.sumOf { it.remaining }

    /** Tokens of the requests that have not timed out. */
    fun pendingTokens(now: Duration): Long =
        pending.values.filter { now - it.at < times.tokenRequestTimeout }.sumOf { it.amount }

    /** Whether [key] has neither a request that has not timed out nor a retry delay after a partial grant. */
    fun mayRequest(key: ShareKey, now: Duration): Boolean = now >= (retryShareAt[key] ?: Duration.ZERO) &&
        pending.values.none { it.key == key && now - it.at < times.tokenRequestTimeout }

    fun requestSent(id: TransferId, key: ShareKey, owner: Incarnation, amount: Long, now: Duration) {
        pending[id] = PendingRequest(key, owner, amount, now)
    }

    /** Credits a grant once; returns its lot instead when it arrived too late to be spent. */
    fun receiveGrant(grant: PeerMessage.TokenGrant, now: Duration): TokenLot? {
        val request = pending.remove(grant.id) ?: return null
        exhausted = grant.amount == 0L
        if (grant.amount < request.amount) {
            retryShareAt[request.key] = now + times.emptyShareRetryDelay
            prefetchPausedUntil = now + times.grantTtl
        }
        if (grant.amount <= 0) return null
        val lot = TokenLot(grant.id, request.key, request.owner, request.at + times.grantTtl, grant.amount)
        if (now > lot.expires) return lot
        lots.addLast(lot)
        return null
    }

    /** Spends up to [wanted] tokens, from the oldest lot first. */
    fun spend(wanted: Long): List<Charge> {
        var missing = wanted
        val charges = mutableListOf<Charge>()
        while (missing > 0 && lots.isNotEmpty()) {
            val lot = lots.first()
            val amount = minOf(missing, lot.remaining)
            lot.remaining -= amount
            missing -= amount
            charges += Charge.FromLot(amount, lot)
            if (lot.remaining == 0L) lots.removeFirst()
        }
        return charges
    }

    /** Adds [amount] unused tokens back to [lot], which must not have expired. */
    fun refund(lot: TokenLot, amount: Long) {
        lot.remaining += amount
        if (lot !in
            lots
        ) {
            lots.add(lots.indexOfFirst { it.expires > lot.expires }.let { if (it < 0) lots.size else it }, lot)
        }
    }

    /** Removes expired requests and lots; returns the expired lots, whose tokens go back to the owners. */
    fun expire(now: Duration): List<TokenLot> {
        pending.values.removeIf { now - it.at > times.grantTtl }
        if (lots.isEmpty()) return emptyList()
        val (expired, valid) = lots.partition { now > it.expires }
        if (expired.isEmpty()) return emptyList()
        lots.clear()
        lots.addAll(valid)
        return expired
    }

    private companion object {
        /** Milliseconds per second. */
        const val MILLIS = 1_000L
    }
}
