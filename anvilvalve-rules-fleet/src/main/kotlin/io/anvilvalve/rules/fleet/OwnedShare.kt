package io.anvilvalve.rules.fleet

import io.anvilvalve.api.id.TransferId
import io.anvilvalve.api.peer.PeerMessage
import kotlin.time.Duration

/**
 * A share that this host refills, with the grants made from it.
 *
 * It stays empty until [emptyUntil], because tokens granted by an earlier owner may be spent until then.
 */
internal class OwnedShare(limit: ShareLimit, clock: Duration, emptyUntil: Duration, private val times: FleetTimes) {
    private class Grant(val message: PeerMessage.TokenGrant, val at: Duration) {
        var unreturned = message.amount
        val returns = HashSet<TransferId>()
        var spentPosition: Long? = null
    }

    private class Hold(val until: Duration, val micros: Long)

    private val bucket = ShareBucket(limit, clock)
    private val grants = LinkedHashMap<TransferId, Grant>()
    private val outstanding = ArrayDeque<Grant>()
    private var takeoverHold: Hold? = Hold(emptyUntil, bucket.holdAll())
    private var nextLimit: Pair<Duration, ShareLimit>? = null

    val tokens: Long get() = bucket.tokens
    val position: Long get() = bucket.position

    /** Whether capacity is held for tokens that another host may spend; such a share needs [advance] while idle. */
    val hasHolds: Boolean get() = takeoverHold != null || outstanding.isNotEmpty()

    /** Refills and releases expired holds; [clock] counts only the time during which the host was current. */
    fun advance(clock: Duration, now: Duration) {
        bucket.refill(clock)
        takeoverHold?.takeIf { now > it.until }?.let {
            bucket.release(it.micros)
            takeoverHold = null
        }
        while (outstanding.firstOrNull()?.let { now > it.at + times.withDrift(times.grantTtl) } == true) {
            val grant = outstanding.removeFirst()
            bucket.release(grant.unreturned * ShareLayout.MICROS)
            grant.spentPosition = bucket.position
        }
        nextLimit?.takeIf { now >= it.first }?.let {
            nextLimit = null
            bucket.changeLimit(it.second)
        }
    }

    /** Applies the lower of both limits at once, and [limit] once no host refills by the old one. */
    fun changeLimit(limit: ShareLimit, now: Duration) {
        bucket.changeLimit(bucket.limit.lowest(limit))
        nextLimit = now + times.removalWait to limit
    }

    fun spend(wanted: Long): Long = bucket.spend(wanted)

    fun refund(amount: Long, since: Long) = bucket.refund(amount, since)

    /** Grants tokens for [request]; a repeated request gets the same grant again. */
    fun grant(request: PeerMessage.TokenRequest, now: Duration): PeerMessage.TokenGrant {
        grants[request.id]?.let { return it.message }
        val amount = bucket.hold(request.amount)
        val message = PeerMessage.TokenGrant(request.id, request.organisation, request.share, amount)
        val grant = Grant(message, now)
        grants[request.id] = grant
        outstanding.addLast(grant)
        evictOldGrants(now)
        return message
    }

    /** Credits returned tokens of a grant: each return once, and in total at most the granted amount. */
    fun receiveReturn(message: PeerMessage.TokenReturn) {
        val grant = grants[TransferId(message.id.value.substringBefore(RETURN_SEPARATOR))] ?: return
        if (!grant.returns.add(message.id)) return
        val amount = message.amount.coerceIn(0, grant.unreturned)
        grant.unreturned -= amount
        when (val since = grant.spentPosition) {
            null -> bucket.cancelHold(amount)
            else -> bucket.refund(amount, since)
        }
    }

    private fun evictOldGrants(now: Duration) {
        val oldest = grants.values.iterator()
        while (oldest.hasNext()) {
            val grant = oldest.next()
            val old = grant.spentPosition != null && (grants.size > MAX_GRANTS || now - grant.at > times.grantRetention)
            if (!old) return
            oldest.remove()
        }
    }

    companion object {
        /** Separates the transfer ID of a grant from the number of the return. */
        const val RETURN_SEPARATOR = '~'
        private const val MAX_GRANTS = 2_048
    }
}
