package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.HostId
import io.anvilvalve.api.log.Member
import io.anvilvalve.api.peer.QueueHead
import io.anvilvalve.api.routing.ServiceId
import io.anvilvalve.api.routing.ServiceSpec
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Requests that wait for capacity, by service: those of this host, and those that it places for other hosts.
 *
 * They are placed in the order of [FairQueue]. A request is refused as soon as its turn in this order comes later than
 * [WaitLimits] allow. All hosts follow one order: a host places no queued request while a peer reports one with a lower
 * rank, which precedes it. Otherwise several hosts that see the same free memory would all use it. In a large fleet,
 * one coordinator places the requests of all hosts.
 */
internal class Queues(
    private val self: Member,
    private val out: Outbox,
    private val placement: Placement,
    private val peers: Peers,
    private val coordinators: Coordinators,
    private val weights: ShareWeights = ShareWeights(),
    times: ServiceTimes = MeasuredTimes(out, placement),
) {
    private class Deferral(val head: Long, val since: Duration)

    private val limits = WaitLimits(times)
    private val deferrals = HashMap<HostId, Deferral>()
    private val queues = LinkedHashMap<ServiceId, ServiceQueue>()
    private val hopeless = HashSet<QueuedRequest>()
    private var reviewedAt = Duration.ZERO

    /** Number of queue changes so far. */
    var changeCount = 0L
        private set

    val services: Collection<ServiceId> get() = queues.filterValues { !it.isEmpty }.keys.toList()

    fun add(request: QueuedRequest) {
        changeCount++
        request.queueNumber = changeCount
        queue(request.service.id).add(request)
    }

    fun remove(request: QueuedRequest) {
        val queue = queues[request.service.id] ?: return
        hopeless.remove(request)
        if (queue.remove(request)) changeCount++
    }

    /** Queued work at this host: tokens of memory for engines, number of calls for plain services. */
    fun queuedTokens(service: ServiceId): Int {
        val queue = queues[service] ?: return 0
        queue.sort(out.now)
        return queue.work.coerceAtMost(Int.MAX_VALUE.toLong()).toInt()
    }

    /**
     * The request of [service] that this host would place next, with the rank of the one that most needs to be placed.
     * A host whose turn it is in its own order to place a late request must not lose its turn among the hosts for it.
     */
    fun head(service: ServiceId): QueueHead? {
        if (!coordinators.isDirect) return null
        val queue = queues[service] ?: return null
        queue.sort(out.now)
        val request = queue.head(out.now)?.request ?: return null
        val foremost = foremost(queue)
        return QueueHead(
            rank(foremost),
            (out.now - request.arrivedAt).inWholeMilliseconds,
            request.memoryTokens,
            request.queueNumber,
            if (isLate(foremost)) Long.MAX_VALUE else (foremost.lateAt - out.now).inWholeMilliseconds,
        )
    }

    /** The queued requests of [service] that no coordinator has been asked to place. */
    fun undelegated(service: ServiceId): List<QueuedRequest> = queues[service]?.undelegated.orEmpty()

    /**
     * Passes the queued requests of [service] to [place] in order. Stops at a request that a peer's request precedes.
     * A request without capacity is bypassed by those that need less, see [bypass].
     */
    fun dispatch(service: ServiceId, place: (QueuedRequest) -> Boolean) {
        val queue = queues[service] ?: return
        queue.sort(out.now)
        while (true) {
            val entry = queue.head(out.now) ?: return
            if (defersToPeer(queue, entry.request.service)) return
            if (!place(queue, entry, place)) return bypass(queue, entry, place)
        }
    }

    /** A request with allowed regions or a version says nothing about the capacity for the others. */
    private fun mayHoldUpOthers(request: QueuedRequest) = request.allowedRegions.isEmpty() &&
        request.streamVersion == null &&
        (request.service.engine == null || out.now - request.arrivedAt > MAX_BYPASS_TIME)

    /** Whether the queued [request] can be expected to be placed within its waiting limit. */
    fun mayWait(request: QueuedRequest): Boolean {
        val queue = queue(request.service.id)
        return queue.mayWait(request, unitTime(request.service, queue), out.now)
    }

    /** Whether [request] can still be answered in time if it is placed after another [wait]. */
    fun mayWaitFor(request: QueuedRequest, wait: Duration): Boolean =
        out.now + wait <= queue(request.service.id).entry(request).latestStartAt

    fun expectedWait(request: QueuedRequest): Duration {
        val queue = queue(request.service.id)
        return queue.expectedWait(request, unitTime(request.service, queue), out.now)
    }

    /** Decides with which wait and for which reason [request] is refused, and reserves a later turn for its caller. */
    fun refusal(request: QueuedRequest): Refusal {
        val queue = queue(request.service.id)
        return queue.refusal(request, unitTime(request.service, queue), out.now)
    }

    /** Finds the queued requests whose turn comes too late. */
    fun review() {
        if (out.now - reviewedAt < REVIEW_INTERVAL) return
        reviewedAt = out.now
        hopeless.clear()
        for (queue in queues.values) {
            queue.sort(out.now)
            val service = queue.head(out.now)?.request?.service ?: continue
            hopeless += queue.tooLate(unitTime(service, queue), out.now)
        }
    }

    /**
     * Whether the turn of [request] comes too late, as of the latest [review]; the coordinator that places a request
     * decides first.
     */
    fun isOverdue(request: QueuedRequest): Boolean {
        if (request in hopeless) return true
        val grace = if (request.isDelegated) RoutingTimes.PLACEMENT_GRACE else Duration.ZERO
        return out.now > queue(request.service.id).entry(request).latestStartAt + grace
    }

    /** Places [entry]; returns whether the next one may be tried. */
    private fun place(queue: ServiceQueue, entry: QueueEntry, place: (QueuedRequest) -> Boolean): Boolean {
        if (!place(entry.request)) return false
        queue.placed(entry, out.now)
        hopeless.remove(entry.request)
        changeCount++
        return true
    }

    /**
     * Places requests behind [first], which has no capacity: those that other servers may get, and at engines those that
     * need less memory, unless [first] could run anywhere and has waited for [MAX_BYPASS_TIME].
     */
    private fun bypass(queue: ServiceQueue, first: QueueEntry, place: (QueuedRequest) -> Boolean) {
        val isPlain = first.request.service.engine == null
        val isLimited = first.request.restriction.isLimiting
        if (!isLimited && (isPlain || out.now - first.request.arrivedAt > MAX_BYPASS_TIME)) return
        if (!isLimited) queue.keepTurn(first)
        if (queue.size == 1) return
        val refused = hashMapOf(first.request.restriction to first.work)
        for (entry in queue.inOrder(out.now).drop(1).take(MAX_BYPASSING).toList()) {
            val restriction = entry.request.restriction
            if (entry.work >=
                minOf(refused[restriction] ?: Int.MAX_VALUE, refused[UNLIMITED] ?: Int.MAX_VALUE)
            ) {
                continue
            }
            if (!place(queue, entry, place)) refused[restriction] = entry.work
        }
    }

    /**
     * Time that the service takes for one unit of work of this host. The queues of the peers are assumed to be composed
     * as [queue], so their work lengthens it in proportion.
     */
    private fun unitTime(service: ServiceSpec, queue: ServiceQueue): Duration {
        val wait = placement.capacity.expectedWait(service, WORK_SAMPLE)
        if (wait >= Placement.NEVER) return Duration.INFINITE
        val peersWork = peers.all.filter(peers::isAlive).sumOf { peer ->
            peer.lastMessage?.attempts?.firstOrNull { it.service == service.id }?.queuedTokens?.toLong() ?: 0L
        }
        return wait / WORK_SAMPLE * (1 + peersWork.toDouble() / maxOf(queue.work, 1))
    }

    /** Whether a peer reports a request that precedes those of [queue] and should be placed first. */
    private fun defersToPeer(queue: ServiceQueue, service: ServiceSpec): Boolean {
        if (!coordinators.isDirect) return false
        val ownRank = rank(foremost(queue))
        return peers.all.any { peer ->
            val lastReceivedAt = peer.lastReceivedAt ?: return@any false
            val since = out.now - lastReceivedAt
            val head = peer.lastMessage?.attempts?.firstOrNull { it.service == service.id }?.head
            if (head == null || since > RoutingTimes.QUEUE_HEAD_EXPIRY) return@any false
            val late = if (since.inWholeMilliseconds >= head.lateInMillis) LATE_RANK else 0
            val peerRank = head.rank + late - since.inWholeMilliseconds
            val before = peerRank < ownRank || (peerRank == ownRank && peer.member.host.value < self.host.value)
            before && peerMayPlace(peer.member.host, head, service)
        }
    }

    /**
     * Whether the peer that holds [head] should place it first. If there is capacity for it, the peer gets
     * [DEFERRAL_TIME] only, because it may be unable to reach that capacity. If there is none, [head] takes precedence
     * at once for a plain service, and for an engine after it has waited for [MAX_BYPASS_TIME].
     */
    private fun peerMayPlace(peer: HostId, head: QueueHead, service: ServiceSpec): Boolean {
        val engine = service.engine
        val fitting = when (engine) {
            null -> placement.plain(service.id, emptySet())
            else -> placement.decode(service.id, engine, head.tokens, emptySet())
        }
        // The peer cannot use this host's own part of what the server may get.
        if (fitting != null && placement.rules.isRateLimited(fitting)) return false
        if (fitting == null) {
            deferrals.remove(peer)
            return engine == null || head.waitedMillis > MAX_BYPASS_TIME.inWholeMilliseconds
        }
        val deferral =
            deferrals[peer]?.takeIf { it.head == head.number }
                ?: Deferral(head.number, out.now).also { deferrals[peer] = it }
        return out.now - deferral.since < DEFERRAL_TIME
    }

    /** The request with the lowest rank of those that are next for their organisations. */
    private fun foremost(queue: ServiceQueue): QueueEntry = queue.heads(out.now).minBy(::rank)

    private fun isLate(entry: QueueEntry) = entry.lateAt <= out.now

    private fun rank(entry: QueueEntry): Long {
        val late = if (isLate(entry)) LATE_RANK else 0
        return entry.request.urgency * URGENCY_RANK + late - (out.now - entry.request.firstTriedAt).inWholeMilliseconds
    }

    private fun queue(service: ServiceId) = queues.getOrPut(service) { ServiceQueue(limits, weights::of) }

    private companion object {
        /** Smaller requests may bypass a larger one for this long, so that the largest requests do not starve. */
        val MAX_BYPASS_TIME = 300.milliseconds

        /** Limits the work per event; requests further behind are tried when the queue has become shorter. */
        const val MAX_BYPASSING = 64

        val UNLIMITED = Restriction(emptySet(), emptySet())

        /** Covers several message latencies between hosts and the batching delay of messages. */
        val DEFERRAL_TIME = 60.milliseconds

        /** Callers are told within this time that they wait in vain. */
        val REVIEW_INTERVAL = 50.milliseconds

        /** Work for which the expected wait is asked, large enough that the rounding to milliseconds does not matter. */
        const val WORK_SAMPLE = 100_000

        /** Rank offsets in milliseconds, larger than any time that a request waits. */
        const val LATE_RANK = 10_000_000L
        const val URGENCY_RANK = 100_000_000L
    }
}
