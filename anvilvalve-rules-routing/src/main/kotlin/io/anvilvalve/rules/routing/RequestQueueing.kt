package io.anvilvalve.rules.routing

import io.anvilvalve.api.log.Member
import io.anvilvalve.api.result.LogEvent
import io.anvilvalve.api.result.ResultCode
import io.anvilvalve.api.routing.Backend
import io.anvilvalve.api.routing.ServiceId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Arrival of requests and their wait for a backend server.
 *
 * @param placer the coordinator that places the requests; null while this host places them itself.
 */
internal class RequestQueueing(
    private val out: Outbox,
    private val live: LiveRequests,
    private val endings: RequestEndings,
    private val attempts: RequestAttempts,
    private val placement: Placement,
    private val retries: SharedRetries,
    private val queues: Queues,
    private val delegated: DelegatedPlacement,
    private val remote: RemotePlacements,
    private val drain: Drain,
    private val estimate: FinishEstimate,
    private val crashingParts: CrashingParts,
    private val confirmations: QuotaConfirmations,
    private val streams: StreamVersions,
    private val placer: () -> Member?,
) {
    fun accept(request: LiveRequest) {
        live.add(request)
        if (request.isTakenUp) {
            val stream = streams.streamOf(request.request, request.organisationId)
            request.streamVersion =
                streams.versionOf(stream, request.service.id, isOnlyService = request.route.targets.size == 1)
            if (request.needsStreamVersion && placer() == null) return refuseUnknown(request)
        }
        if (crashingParts.isWithheld(request)) return endings.withhold(request)
        if (drain.active && !estimate.canFinish(request, queues.expectedWait(request))) {
            return endings.refuse(request, ResultCode.DRAINING)
        }
        retries.recordRequest(request.service.id)
        queues.add(request)
        place(request.service.id)
        if (request.phase == LiveRequest.Phase.QUEUED && !request.isDelegated) queueOrRefuse(request)
    }

    /** Places [request] of another host. */
    fun accept(request: RemoteRequest) {
        remote.add(request)
        placeHere(request.service.id)
        remote.settle(request)
    }

    /** Starts [request], to which a coordinator has granted [server] and [prefill]. */
    fun granted(request: LiveRequest, server: Backend?, prefill: Backend?, tokensAhead: Int) {
        if (server == null || server.leaving || server.id in request.triedServers || !mayReceive(server, request)) {
            // This host knows a newer or an older state of the backend servers than the coordinator.
            delegated.release(request)
            placeHere(request.service.id)
        } else {
            queues.remove(request)
            if (request.needsStreamVersion) request.streamVersion = server.version
            attempts.start(request, SelectedServers(server, prefill, tokensAhead))
        }
    }

    private fun mayReceive(server: Backend, request: LiveRequest) =
        placement.rules.mayReceive(server, request.need(placement.dataCentre, out.now))

    /** Refuses [request], as the coordinator has decided. */
    fun refused(request: LiveRequest, refusal: Refusal) = when {
        refusal.reason == RefusalReason.QUOTA && request.isUntouched ->
            endings.refuse(request, ResultCode.RATE_EXCEEDED, refusal)

        else -> endings.endUnplaced(request, refusal)
    }

    private fun refuseUnknown(request: LiveRequest) =
        endings.endUnplaced(request, Refusal(UNKNOWN_STREAM_WAIT, RefusalReason.STREAM))

    /** Queues [request] again after a call that did not end it. */
    fun requeue(request: LiveRequest) {
        request.phase = LiveRequest.Phase.QUEUED
        request.requeuedAt = out.now
        queues.add(request)
        place(request.service.id)
        endIfRuledOut(request)
    }

    /** Places queued requests of [service] in their order, or asks the coordinator to do so. */
    fun place(service: ServiceId) {
        val to = placer()
        if (to != null || !confirmations.decidesHere) {
            queues.undelegated(service).filterIsInstance<LiveRequest>().forEach { request ->
                coordinatorFor(request, to)?.let { delegated.ask(request, it) }
            }
        }
        // Places what no coordinator answered, and requests of hosts that consider this host the coordinator.
        placeHere(service)
    }

    /** The coordinator to ask about [request]: [placer], or one that is slow if the quota has to be confirmed. */
    private fun coordinatorFor(request: LiveRequest, placer: Member?): Member? = when {
        waitForRules(request) > Duration.ZERO -> null
        placer != null && delegated.mayAsk(request) -> placer
        delegated.mayAskAgain(request) && confirmations.isNeeded(request) -> confirmations.coordinator
        else -> null
    }

    fun placeAll() = queues.services.forEach(::place)

    /** Asks again, or places here, what coordinators have not answered, and drops what silent hosts left behind. */
    fun tick() {
        queues.review()
        delegated.tick().map { it.service.id }.distinct().forEach(::place)
        remote.tick()
    }

    /** A coordinator does not know all reasons for which this host may not use servers. */
    private fun waitForRules(request: LiveRequest) =
        placement.rules.waitForRules(request.need(placement.dataCentre, out.now))

    /** Ends the queued [request] if the servers that are left get no calls for longer than it can wait. */
    private fun endIfRuledOut(request: LiveRequest) {
        if (request.phase != LiveRequest.Phase.QUEUED || request.isDelegated || live[request.id] == null) return
        val wait = waitForRules(request)
        if (wait > Duration.ZERO && !queues.mayWaitFor(request, wait)) endings.endUnplaced(request, Refusal(wait))
    }

    private fun queueOrRefuse(request: LiveRequest) {
        endIfRuledOut(request)
        if (live[request.id] == null) return
        if (queues.mayWait(request)) {
            out.log(
                LogEvent.REQUEST_QUEUED,
                "request" to request.id,
                "service" to request.service.id,
                "queued_tokens" to queues.queuedTokens(request.service.id),
            )
        } else {
            endings.refuse(request, ResultCode.DEADLINE_UNREACHABLE)
        }
    }

    private fun placeHere(service: ServiceId) = queues.dispatch(service, ::tryPlace)

    private fun tryPlace(request: QueuedRequest): Boolean = when (request) {
        is RemoteRequest -> remote.tryPlace(request)
        is LiveRequest -> tryPlace(request)
    }

    private fun tryPlace(request: LiveRequest): Boolean {
        if (request.needsStreamVersion) {
            refuseUnknown(request)
            return true
        }
        val selected = placement.select(request.need(placement.dataCentre, out.now)) ?: return false
        val wait = confirmations.waitHere(request)
        if (wait == null) {
            attempts.start(request, selected)
        } else {
            endings.refuse(request, ResultCode.RATE_EXCEEDED, Refusal(wait, RefusalReason.QUOTA))
        }
        return true
    }

    /** Refuses a queued request whose turn comes too late, or that cannot end before this host must exit. */
    fun endIfHopeless(request: LiveRequest) = when {
        queues.isOverdue(request) -> endings.endUnplaced(request)
        request.isUntouched && !estimate.canFinish(request) -> endings.refuse(request, ResultCode.DRAINING)
        else -> endIfRuledOut(request)
    }

    private companion object {
        /** Another host may know the stream. */
        val UNKNOWN_STREAM_WAIT = 200.milliseconds
    }
}
