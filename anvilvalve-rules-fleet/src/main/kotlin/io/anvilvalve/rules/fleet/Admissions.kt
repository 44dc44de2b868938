package io.anvilvalve.rules.fleet

import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.id.TransferId
import io.anvilvalve.api.log.Member
import io.anvilvalve.api.peer.PeerMessage
import io.anvilvalve.api.result.ResultCode
import kotlin.time.Duration

/** Charges requests in order of arrival per organisation and refunds their unused tokens when they end. */
internal class Admissions(
    private val self: Incarnation,
    private val shares: OwnedShares,
    private val slots: SlotTable,
    private val view: Membership,
    private val times: FleetTimes,
    private val out: Outbox,
) {
    private val waiting = LinkedHashMap<OrganisationId, ArrayDeque<FleetEvent.Admit>>()
    private val balances = HashMap<OrganisationId, OrganisationTokens>()
    private val charged = HashMap<RequestId, List<Charge>>()
    private var nextTransfer = 0L

    /** Whether any admitted request has not been settled. */
    val hasUnsettled: Boolean get() = charged.isNotEmpty()

    /** Admits, refuses or queues [request]; [clock] counts only the time during which the host was current. */
    fun admit(request: FleetEvent.Admit, clock: Duration, now: Duration) {
        val layout = shares.layout(request.organisation)
        when {
            layout == null -> refuse(request, ResultCode.NOT_READY)

            request.tokens > layout.limit.capMicros / ShareLayout.MICROS * layout.count ->
                refuse(request, ResultCode.PROMPT_TOO_LONG)

            else -> {
                balance(request.organisation).demand.record(request.tokens)
                waiting.getOrPut(request.organisation) { ArrayDeque() }.addLast(request)
                admitWaiting(request.organisation, clock, now)
            }
        }
    }

    fun receiveGrant(grant: PeerMessage.TokenGrant, clock: Duration, now: Duration) {
        val lateLot = balances[grant.organisation]?.receiveGrant(grant, now)
        if (lateLot != null) returnToOwner(lateLot, lateLot.remaining)
        admitWaiting(grant.organisation, clock, now)
    }

    /** Refunds the unused tokens of a request to the shares and lots that they were charged from. */
    fun settle(id: RequestId, used: Long, now: Duration) {
        val charges = charged.remove(id) ?: return
        var unused = (charges.sumOf { it.amount } - used).coerceAtLeast(0)
        for (charge in charges.asReversed()) {
            val amount = minOf(unused, charge.amount)
            if (amount == 0L) return
            unused -= amount
            when (charge) {
                is Charge.FromShare -> charge.share.refund(amount, charge.position)
                is Charge.FromLot -> returnToLot(charge.lot, amount, now)
            }
        }
    }

    /** Returns expired tokens, admits or refuses queued requests and prefetches tokens. */
    fun advance(clock: Duration, now: Duration) {
        balances.values.forEach { balance -> balance.expire(now).forEach { returnToOwner(it, it.remaining) } }
        waiting.keys.toList().forEach { organisation ->
            admitWaiting(organisation, clock, now)
            refuseExpired(organisation, now)
        }
        waiting.values.removeIf { it.isEmpty() }
        balances.forEach { (organisation, balance) -> prefetch(organisation, balance, clock, now) }
    }

    fun refuseAll(code: ResultCode) {
        waiting.values.forEach { queue -> queue.forEach { refuse(it, code) } }
        waiting.clear()
    }

    private fun admitWaiting(organisation: OrganisationId, clock: Duration, now: Duration) {
        val queue = waiting[organisation] ?: return
        val layout = shares.layout(organisation)
        if (layout == null) {
            queue.forEach { refuse(it, ResultCode.NOT_READY) }
            queue.clear()
            return
        }
        val balance = balance(organisation)
        balance.expire(now).forEach { returnToOwner(it, it.remaining) }
        val own = shares.refilled(layout, clock, now)
        while (queue.isNotEmpty() && queue.first().tokens <= balance.available() + own.sumOf { it.second.tokens }) {
            charge(queue.removeFirst(), balance, own)
        }
        if (queue.isNotEmpty()) requestTokens(layout, queue.sumOf { it.tokens }, balance, own, now)
    }

    private fun balance(organisation: OrganisationId) = balances.getOrPut(organisation) { OrganisationTokens(times) }

    /** Requests tokens in advance when less than half of the prefetch target is available or pending. */
    private fun prefetch(organisation: OrganisationId, balance: OrganisationTokens, clock: Duration, now: Duration) {
        balance.demand.advance(now)
        val target = balance.prefetchTarget(now)
        val layout = shares.layout(organisation)
        if (target == 0L || layout == null) return
        val own = shares.refilled(layout, clock, now)
        val known = balance.available() + balance.pendingTokens(now) + own.sumOf { it.second.tokens }
        if (known < target / 2) requestTokens(layout, target, balance, own, now)
    }

    private fun charge(request: FleetEvent.Admit, balance: OrganisationTokens, own: List<Pair<ShareKey, OwnedShare>>) {
        val charges = balance.spend(request.tokens).toMutableList()
        var missing = request.tokens - charges.sumOf { it.amount }
        for ((_, share) in own) {
            if (missing == 0L) break
            val amount = share.spend(missing)
            missing -= amount
            if (amount > 0) charges += Charge.FromShare(amount, share, share.position)
        }
        check(missing == 0L) { "request ${request.id} was admitted but is $missing of ${request.tokens} tokens short" }
        charged[request.id] = charges
        out.add(FleetEffect.Admitted(request.id))
    }

    private fun requestTokens(
        layout: ShareLayout,
        wanted: Long,
        balance: OrganisationTokens,
        own: List<Pair<ShareKey, OwnedShare>>,
        now: Duration,
    ) {
        var missing = wanted - balance.available() - balance.pendingTokens(now) - own.sumOf { it.second.tokens }
        val first = nextTransfer.mod(layout.count)
        for (step in 0 until layout.count) {
            if (missing <= 0) return
            val key = ShareKey(layout.organisation.id, (first + step) % layout.count)
            val owner = slots.owner(layout.slots[key.share])?.let(view::member)
            if (owner == null || owner.incarnation == self || !balance.mayRequest(key, now)) continue
            val amount = minOf(missing, layout.limit.capMicros / ShareLayout.MICROS)
            missing -= amount
            sendRequest(owner, key, amount, balance, now)
        }
    }

    private fun sendRequest(owner: Member, key: ShareKey, amount: Long, balance: OrganisationTokens, now: Duration) {
        val id = TransferId("${self.value}:${nextTransfer++}")
        balance.requestSent(id, key, owner.incarnation, amount, now)
        out.add(FleetEffect.Send(owner, PeerMessage.TokenRequest(id, key.organisation, key.share, amount)))
    }

    private fun returnToLot(lot: TokenLot, amount: Long, now: Duration) {
        val balance = balances[lot.organisation]
        if (now <= lot.expires && balance != null) balance.refund(lot, amount) else returnToOwner(lot, amount)
    }

    private fun returnToOwner(lot: TokenLot, amount: Long) {
        val owner = view.member(lot.owner)
        if (owner != null && amount > 0) out.add(FleetEffect.Send(owner, lot.returnMessage(amount)))
    }

    private fun refuseExpired(organisation: OrganisationId, now: Duration) {
        val queue = waiting[organisation] ?: return
        val late = queue.filter { now + times.tickInterval >= it.deadline }
        if (late.isEmpty()) return
        queue.removeAll(late.toSet())
        val code =
            if (balances[organisation]?.exhausted != false) ResultCode.RATE_EXCEEDED else ResultCode.TOKENS_UNAVAILABLE
        late.forEach { refuse(it, code) }
    }

    private fun refuse(request: FleetEvent.Admit, code: ResultCode) {
        val rate = shares.layout(request.organisation)?.organisation?.rate ?: 0
        val wait = if (rate > 0) request.tokens * MILLIS / rate else MILLIS
        out.add(FleetEffect.Refused(request.id, code, wait.coerceIn(RETRY_AFTER_MILLIS)))
    }

    private companion object {
        /** Milliseconds per second; also the retry delay if the rate is unknown. */
        const val MILLIS = 1_000L
        val RETRY_AFTER_MILLIS = 100L..60_000L
    }
}
