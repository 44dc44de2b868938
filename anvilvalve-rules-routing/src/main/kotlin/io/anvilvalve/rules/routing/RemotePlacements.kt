package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.HostId
import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.log.Member
import io.anvilvalve.api.peer.GrantsSeen
import io.anvilvalve.api.peer.PlacementMessage
import io.anvilvalve.api.routing.Backend
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Places the requests of other hosts, as coordinator.
 *
 * A grant counts as load until its host reports that it has received it; from then on the host's own reports include
 * the request. The state is soft: another coordinator can take over at any time, and the engines refuse what two of
 * them grant at the same moment.
 */
internal class RemotePlacements(
    private val self: Incarnation,
    private val out: Outbox,
    private val queues: Queues,
    private val placement: Placement,
    private val loads: ServerLoads,
    private val turnaround: Turnaround,
    private val send: (Member, PlacementMessage) -> Unit,
) {
    private class Grant(
        val number: Long,
        val server: Backend,
        val memoryTokens: Int,
        val prefill: Backend?,
        val promptTokens: Int,
        val at: Duration,
    )

    /** A host whose requests are placed. */
    private class Client(val member: Member) {
        val waiting = LinkedHashMap<Long, RemoteRequest>()
        val grants = ArrayDeque<Grant>()
    }

    private val clients = HashMap<HostId, Client>()
    private var lastGrant = 0L

    /** Queues [request]; the caller then places the requests of its service and calls [settle]. */
    fun add(request: RemoteRequest) {
        client(request.from).waiting[request.number] = request
        queues.add(request)
    }

    /** Tells the host of [request], if it has not been placed, that it waits or is refused. */
    fun settle(request: RemoteRequest) {
        if (!isWaiting(request)) return
        if (queues.mayWait(request)) send(request.from, PlacementMessage.Queued(request.number)) else refuse(request)
    }

    /** Grants servers to [request] if there is capacity; returns whether there is. */
    fun tryPlace(request: RemoteRequest): Boolean {
        val selected = placement.select(request.need) ?: return false
        val client = client(request.from)
        client.waiting.remove(request.number)
        val memoryTokens = if (request.service.engine == null) 0 else request.memoryTokens
        val grant = Grant(
            ++lastGrant,
            selected.server,
            memoryTokens,
            selected.prefill,
            request.need.promptTokens,
            out.now,
        )
        client.grants += grant
        loads.addGrant(grant.server.id, grant.memoryTokens)
        grant.prefill?.let { loads.addGrant(it.id, grant.promptTokens) }
        send(
            request.from,
            PlacementMessage.Placed(
                request.number,
                grant.number,
                grant.server.id,
                grant.prefill?.id,
                selected.tokensAhead,
            ),
        )
        return true
    }

    /** Removes the request [number] of [from] from the queue. */
    fun cancel(from: HostId, number: Long) {
        clients[from]?.waiting?.remove(number)?.let(queues::remove)
    }

    /** Releases the grants that the report of [host] includes. */
    fun reported(host: HostId, seen: List<GrantsSeen>) {
        val latest = seen.firstOrNull { it.coordinator == self }?.grant ?: return
        clients[host]?.release { it.number <= latest }
    }

    /** Releases the capacity of a call that ended at [host]; its host's next report does not include the call any more. */
    fun released(host: HostId, message: PlacementMessage.Released) {
        val client = clients[host]
        val grant = client?.grants?.firstOrNull { it.number == message.grant }
        if (grant == null) {
            loads.releaseReported(host, message.server)
            return
        }
        message.callMillis?.let { turnaround.record(out.now - grant.at - it.milliseconds) }
        client.release { it === grant }
    }

    /** Refuses requests that have waited too long, and drops what silent hosts left behind. */
    fun tick() {
        for (client in clients.values) {
            client.waiting.values.filter(queues::isOverdue).forEach(::refuse)
            client.release { out.now - it.at > RoutingTimes.GRANT_EXPIRY }
        }
        clients.values.removeIf { it.waiting.isEmpty() && it.grants.isEmpty() }
    }

    private fun client(member: Member): Client {
        val known = clients[member.host]
        if (known?.member == member) return known
        known?.run {
            waiting.values.forEach(queues::remove)
            release { true }
        }
        return Client(member).also { clients[member.host] = it }
    }

    private fun isWaiting(request: RemoteRequest) = clients[request.from.host]?.waiting?.get(request.number) === request

    private fun refuse(request: RemoteRequest) {
        cancel(request.from.host, request.number)
        send(request.from, queues.refusal(request).toMessage(request.number))
    }

    private fun Client.release(isReleased: (Grant) -> Boolean) = grants.removeAll { grant ->
        isReleased(grant).also { released ->
            if (released) {
                loads.removeGrant(grant.server.id, grant.memoryTokens)
                grant.prefill?.let { loads.removeGrant(it.id, grant.promptTokens) }
            }
        }
    }
}
