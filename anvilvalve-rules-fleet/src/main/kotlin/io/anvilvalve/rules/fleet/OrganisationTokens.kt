package io.anvilvalve.rules.fleet

import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.id.TransferId
import io.anvilvalve.api.peer.PeerMessage
import kotlin.time.Duration

/** Tokens of one organisation that this host got, or has asked for, from the owners of its shares. */
internal class OrganisationTokens(private val times: FleetTimes) {
    /** A request under way; it is counted on for a short time only, and its grant may be spent for longer. */
    private class PendingRequest(val key: ShareKey, val owner: Incarnation, val amount: Long, val at: Duration)

    private val lots = ArrayDeque<TokenLot>()
    private val pending = LinkedHashMap<TransferId, PendingRequest>()
    private val retryShareAt = HashMap<ShareKey, Duration>()

    private var prefetchPausedUntil = Duration.ZERO

    val demand = Demand()

    /** Whether every owner that was asked lately had nothing to give. */
    var exhausted: Boolean = false
        private set

    /** Tokens to have at hand; none while an owner could not give all, so that hosts do not hoard what is scarce. */
    fun prefetchTarget(now: Duration): Long =
        if (now < prefetchPausedUntil) 0 else demand.tokensPerSecond * times.prefetchSpan.inWholeMilliseconds / MILLIS

    fun available(): Long = lots.sumOf { it.remaining }

    fun pendingTokens(now: Duration): Long =
        pending.values.filter { now - it.at < times.tokenRequestTimeout }.sumOf { it.amount }

    fun mayRequest(key: ShareKey, now: Duration): Boolean = now >= (retryShareAt[key] ?: Duration.ZERO) &&
        pending.values.none { it.key == key && now - it.at < times.tokenRequestTimeout }

    fun requestSent(id: TransferId, key: ShareKey, owner: Incarnation, amount: Long, now: Duration) {
        pending[id] = PendingRequest(key, owner, amount, now)
    }

    /** Credits a grant once; returns the tokens that came too late to be spent. */
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

    /** Takes [wanted] tokens or what there is, the oldest first. */
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

    /** Puts [amount] unused tokens of [lot] back while they may be spent. */
    fun refund(lot: TokenLot, amount: Long) {
        lot.remaining += amount
        if (lot !in
            lots
        ) {
            lots.add(lots.indexOfFirst { it.expires > lot.expires }.let { if (it < 0) lots.size else it }, lot)
        }
    }

    /** Drops what may not be spent any more; returns the lots with tokens to give back. */
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
        const val MILLIS = 1_000L
    }
}
