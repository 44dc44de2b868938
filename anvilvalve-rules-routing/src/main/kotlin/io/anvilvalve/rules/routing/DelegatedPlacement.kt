package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.HostId
import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.log.Member
import io.anvilvalve.api.peer.GrantsSeen
import io.anvilvalve.api.peer.PlacementMessage
import io.anvilvalve.api.result.LogEvent
import kotlin.time.Duration

/**
 * Asks a coordinator where to place this host's requests.
 *
 * A coordinator that does not answer within [RoutingTimes.PLACEMENT_TIMEOUT], or falls silent while requests wait
 * there, is not asked for some time. The next one is asked about the request, and if that does not answer either, this
 * host places the request by what it knows. A late grant has no effect: it expires when a report confirms it.
 *
 * @param firstNumber number before the first question; another one at every start, so that answers to an earlier
 * incarnation of this host are not mistaken for current ones.
 */
internal class DelegatedPlacement(
    private val out: Outbox,
    private val coordinators: Coordinators,
    private val placement: Placement,
    private val quotas: SharedQuotas,
    private val streams: StreamVersions,
    firstNumber: Long,
    private val send: (Member, PlacementMessage) -> Unit,
) {
    private val asked = LinkedHashMap<Long, LiveRequest>()
    private val grants = HashMap<HostId, GrantsSeen>()
    private var lastNumber = firstNumber

    /** Latest grants received, for reports. */
    val grantsSeen: List<GrantsSeen> get() = grants.values.toList()

    /** Whether a coordinator should be asked about [request]. */
    fun mayAsk(request: LiveRequest): Boolean = request.unansweredQuestions < MAX_UNANSWERED

    /** Whether a coordinator should be asked about [request] that did not answer in the usual time. */
    fun mayAskAgain(request: LiveRequest): Boolean = request.unansweredQuestions <= MAX_UNANSWERED

    /** Asks [to] to place [request]. */
    fun ask(request: LiveRequest, to: Member) {
        val delegation = Delegation(to, ++lastNumber, out.now)
        request.delegation = delegation
        asked[delegation.number] = request
        val isPrefilled = request.source != null && out.now < request.sourceExpiresAt
        val need = request.need(placement.dataCentre, out.now)
        val ruledOut = placement.rules.ruledOut(request.service.id, need.withoutVersion())
        val needsPrefill = request.service.engine != null && !isPrefilled
        val reservation = request.reservation?.takeUnless { request.isQuotaConfirmed }
        send(
            to,
            PlacementMessage.Request(
                number = delegation.number,
                service = request.service.id,
                urgency = request.urgency,
                waitedMillis = (out.now - request.waitingSince).inWholeMilliseconds,
                agedMillis = (out.now - request.firstTriedAt).inWholeMilliseconds,
                objectiveMillis = (request.objectiveAt - out.now).inWholeMilliseconds,
                returned = request.isCallerRetry,
                memoryTokens = request.memoryTokens,
                promptTokens = if (needsPrefill) request.promptTokens else 0,
                avoided = (request.triedServers + placement.unreachable() + ruledOut).toList(),
                organisation = request.organisationId,
                route = request.routeName,
                deadlineMillis = (request.deadlineAt - out.now).inWholeMilliseconds,
                regions = request.allowedRegions.toList(),
                costPercent = request.costPercent,
                patienceMillis = (request.patienceEndsAt - out.now).inWholeMilliseconds,
                quotaTokens = reservation?.tokens ?: 0,
                usage = reservation?.let(quotas::usageOf),
                stream = if (request.needsStreamVersion) {
                    streams.streamOf(request.request, request.organisationId)
                        ?: UNKNOWN_STREAM
                } else {
                    null
                },
                version = request.streamVersion,
            ),
        )
    }

    /** Withdraws the question about [request], if one is open. */
    fun cancel(request: LiveRequest) {
        val delegation = request.delegation ?: return
        forget(request)
        send(delegation.to, PlacementMessage.Cancelled(delegation.number))
    }

    fun queued(from: HostId, message: PlacementMessage.Queued) {
        val request = asked[message.number]?.takeIf { it.delegation?.to?.host == from } ?: return
        request.delegation?.isQueued = true
        request.isQuotaConfirmed = true
    }

    /** Records a grant; returns the request that it is for, or null if the request does not wait for it any more. */
    fun granted(from: HostId, incarnation: Incarnation, message: PlacementMessage.Placed): LiveRequest? {
        grants[from] = GrantsSeen(incarnation, message.grant)
        val request = take(from, message)
        request?.isQuotaConfirmed = true
        val coordinator = coordinators.member(from, incarnation) ?: return request
        val capacity = GrantedCapacity(coordinator, message.number, message.grant, message.server)
        if (request == null) release(capacity, callTime = null, rejected = false) else request.granted = capacity
        return request
    }

    /** Tells the coordinator at once that [request] does not use the capacity any more that it granted for a call. */
    fun release(request: LiveRequest, rejected: Boolean = false) {
        val capacity = request.granted ?: return
        request.granted = null
        // Reservations at engines change the next report, which is sent within a few milliseconds.
        if (request.service.engine != null && request.server != null) return
        val isCalled = request.server?.id == capacity.server
        release(capacity, if (isCalled) out.now - request.sentAt else null, rejected)
    }

    private fun release(capacity: GrantedCapacity, callTime: Duration?, rejected: Boolean) = send(
        capacity.from,
        PlacementMessage.Released(
            capacity.question,
            capacity.grant,
            capacity.server,
            callTime?.inWholeMilliseconds?.toInt(),
            rejected,
        ),
    )

    /** Closes the question that [message] answers; returns its request, or null if the question is not open. */
    fun take(from: HostId, message: PlacementMessage): LiveRequest? =
        asked[message.number]?.takeIf { it.delegation?.to?.host == from }?.also(::forget)

    /** Withdraws questions that are not answered; returns the requests that must be placed in another way. */
    fun tick(): List<LiveRequest> {
        val lost = asked.values.filter(::isUnanswered)
        for (request in lost) {
            val to = checkNotNull(request.delegation).to
            if (coordinators.isAvailable(to.host)) {
                out.log(LogEvent.PLACEMENT_UNANSWERED, "coordinator" to to.incarnation, "request" to request.id)
                coordinators.suspect(to.host)
            }
            cancel(request)
            request.unansweredQuestions++
        }
        return lost
    }

    private fun isUnanswered(request: LiveRequest): Boolean {
        val delegation = request.delegation ?: return false
        if (delegation.isQueued) return !coordinators.isAvailable(delegation.to.host)
        val isLast = request.unansweredQuestions == MAX_UNANSWERED
        val timeout = if (isLast) RoutingTimes.CONFIRMATION_TIMEOUT else RoutingTimes.PLACEMENT_TIMEOUT
        return out.now - delegation.askedAt > timeout
    }

    private fun forget(request: LiveRequest) {
        request.delegation?.let { asked.remove(it.number) }
        request.delegation = null
    }

    private companion object {
        const val MAX_UNANSWERED = 2

        /** No stream has this hash code in practice. */
        const val UNKNOWN_STREAM = 0L
    }
}
