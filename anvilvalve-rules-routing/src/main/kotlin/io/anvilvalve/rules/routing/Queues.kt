package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.HostId
import io.anvilvalve.api.log.Member
import io.anvilvalve.api.peer.QueueHead
import io.anvilvalve.api.routing.ServiceId
import io.anvilvalve.api.routing.ServiceSpec
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Requests of this host that wait for room, by service.
 *
 * Under overload the requests that can still be answered in the time that callers want go first; the others are served
 * when there is room left, and refused after [WAIT_FOR_ENGINE] or [WAIT_FOR_CALL]. The hosts keep one order: a host
 * places nothing that waits while a peer reports a request that goes before, because several hosts that see the same
 * free memory would all use it.
 */
internal class Queues(
    private val self: Member,
    private val out: Outbox,
    private val placement: Placement,
    private val peers: Peers,
) {
    private class Deferral(val head: Long, val since: Duration)

    private val deferrals = HashMap<HostId, Deferral>()
    private val waiting = LinkedHashMap<ServiceId, MutableList<LiveRequest>>()

    /** Changes of the queues so far. */
    var changeCount = 0L
        private set

    val services: Collection<ServiceId> get() = waiting.filterValues { it.isNotEmpty() }.keys.toList()

    fun add(request: LiveRequest) {
        changeCount++
        request.queueNumber = changeCount
        waiting.getOrPut(request.service.id) { ArrayList() }.add(request)
    }

    fun remove(request: LiveRequest) {
        if (waiting[request.service.id]?.remove(request) == true) changeCount++
    }

    /** Work that waits at this host: memory at engines, calls at plain services. */
    fun queuedTokens(service: ServiceId): Int = waiting[service].orEmpty().sumOf(::workOf)

    /** The request of [service] that this host would place next. */
    fun head(service: ServiceId): QueueHead? = waiting[service].orEmpty().minWithOrNull(byRank())?.let { request ->
        QueueHead(
            rank(request),
            (out.now - request.arrivedAt).inWholeMilliseconds,
            request.memoryTokens,
            request.queueNumber,
        )
    }

    /** Offers what waits for [service] to [place] in order, until one that has waited long finds no room. */
    fun dispatch(service: ServiceId, place: (LiveRequest) -> Boolean) {
        val queue = waiting[service]?.takeIf { it.isNotEmpty() } ?: return
        for (request in queue.sortedWith(byRank())) {
            if (defersToPeer(request)) return
            if (place(request)) {
                queue.remove(request)
                changeCount++
            } else if (request.service.engine == null || out.now - request.arrivedAt > MAX_BYPASS_TIME) {
                return
            }
        }
    }

    /** Whether [request], which waits, can expect to be placed in time for its caller. */
    fun mayWait(request: LiveRequest): Boolean = expectedWait(request) <= waitLimit(request)

    fun expectedWait(request: LiveRequest): Duration {
        val peersQueued = peers.all.filter(peers::isAlive).sumOf { peer ->
            peer.lastMessage?.attempts?.firstOrNull { it.service == request.service.id }?.queuedTokens ?: 0
        }
        return placement.expectedWait(request.service, queuedTokens(request.service.id) + peersQueued)
    }

    /** Whether [request] has waited as long as is of use to its caller. */
    fun isOverdue(request: LiveRequest): Boolean {
        val since = maxOf(request.arrivedAt, request.sentAt)
        return out.now - since > waitLimit(request)
    }

    /** Whether a peer reports a request that goes before [request] and could be placed. */
    private fun defersToPeer(request: LiveRequest): Boolean = peers.all.any { peer ->
        val lastReceivedAt = peer.lastReceivedAt ?: return@any false
        val since = out.now - lastReceivedAt
        val head = peer.lastMessage?.attempts?.firstOrNull { it.service == request.service.id }?.head
        if (head == null || since > RoutingTimes.QUEUE_HEAD_EXPIRY) return@any false
        val peerRank = head.rank - since.inWholeMilliseconds
        val ownRank = rank(request)
        val before = peerRank < ownRank || (peerRank == ownRank && peer.member.host.value < self.host.value)
        before && peerMayPlace(peer.member.host, head, request.service)
    }

    /**
     * Whether the peer that holds [head] is to place it first: for a moment while there is room for it, because the
     * peer may not reach that room, and while it has waited long for room.
     */
    private fun peerMayPlace(peer: HostId, head: QueueHead, service: ServiceSpec): Boolean {
        val engine = service.engine
        val fits = when (engine) {
            null -> placement.plain(service.id, emptySet()) != null
            else -> placement.decode(service.id, engine, head.tokens, emptySet()) != null
        }
        if (!fits) {
            deferrals.remove(peer)
            return engine == null || head.waitedMillis > MAX_BYPASS_TIME.inWholeMilliseconds
        }
        val deferral =
            deferrals[peer]?.takeIf { it.head == head.number }
                ?: Deferral(head.number, out.now).also { deferrals[peer] = it }
        return out.now - deferral.since < DEFERRAL_TIME
    }

    private fun byRank() = compareBy<LiveRequest> { rank(it) }

    private fun rank(request: LiveRequest): Long {
        val late = if (request.objectiveAt <= out.now) LATE_RANK else 0
        val waited = request.route.timeout - (request.deadlineAt - out.now)
        return request.urgency * URGENCY_RANK + late - waited.inWholeMilliseconds
    }

    /** A caller that has less time than the route allows came back after a refusal, and may not come again. */
    private fun waitLimit(request: LiveRequest): Duration {
        val returned = (request.request.deadline ?: request.route.timeout) < request.route.timeout * FIRST_TRY_SHARE
        return when {
            request.service.engine == null -> WAIT_FOR_CALL
            returned -> WAIT_AFTER_REFUSAL
            else -> WAIT_FOR_ENGINE
        }
    }

    private fun workOf(request: LiveRequest) = if (request.service.engine == null) 1 else request.memoryTokens

    companion object {
        /** Callers of streams leave when they see no event for 3.6 s, and prefill takes a part of that. */
        val WAIT_FOR_ENGINE: Duration = 2_300.milliseconds
        val WAIT_AFTER_REFUSAL: Duration = 3_000.milliseconds

        /** Half of the two seconds that routes of plain services allow. */
        val WAIT_FOR_CALL: Duration = 1_000.milliseconds

        /** Smaller requests may pass a larger one for this long, so that the largest are not starved. */
        private val MAX_BYPASS_TIME = 300.milliseconds

        /** Several times the way of a message between hosts, and the time for which messages are gathered. */
        private val DEFERRAL_TIME = 60.milliseconds
        private const val FIRST_TRY_SHARE = 0.97

        /** Steps of the rank in milliseconds, beyond any time that a request waits. */
        private const val LATE_RANK = 10_000_000L
        private const val URGENCY_RANK = 100_000_000L
    }
}
