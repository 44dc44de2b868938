package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.log.Member
import io.anvilvalve.api.result.ResultCode
import io.anvilvalve.api.routing.Backend
import io.anvilvalve.api.routing.ServiceId

/**
 * Life cycle of admitted requests: arrival and queue in [RequestQueueing], calls in [RequestAttempts], ends in
 * [RequestEndings].
 *
 * @param placer the coordinator that places the requests; null while this host places them itself.
 */
internal class Requests(
    private val out: Outbox,
    placement: Placement,
    loads: ServerLoads,
    retries: SharedRetries,
    queues: Queues,
    completion: RequestCompletion,
    outcomes: ServerOutcomes,
    costs: CostModel,
    delegated: DelegatedPlacement,
    remote: RemotePlacements,
    drain: Drain,
    crashingParts: CrashingParts,
    pauses: ServerPauses,
    confirmations: QuotaConfirmations,
    streams: StreamVersions,
    placer: () -> Member?,
) {
    private val live = LiveRequests()
    private val estimate = FinishEstimate(drain)
    private val endings = RequestEndings(out, live, queues, loads, delegated, drain, completion, pauses)
    private val attempts = RequestAttempts(
        out, live, endings, placement, loads, retries, outcomes, costs, estimate, crashingParts, pauses,
        streams,
        object : RequestAttempts.Queue {
            override fun requeue(request: LiveRequest) = queueing.requeue(request)

            override fun freed(service: ServiceId) = queueing.place(service)
        },
    )
    private val queueing: RequestQueueing = RequestQueueing(
        out, live, endings, attempts, placement, retries, queues, delegated, remote, drain, estimate, crashingParts,
        confirmations, streams, placer,
    )

    val size: Int get() = live.size

    fun accept(request: LiveRequest) = queueing.accept(request)

    /** Places [request] of another host. */
    fun accept(request: RemoteRequest) = queueing.accept(request)

    /** Starts [request], to which a coordinator has granted [server] and [prefill]. */
    fun granted(request: LiveRequest, server: Backend?, prefill: Backend?, tokensAhead: Int) =
        queueing.granted(request, server, prefill, tokensAhead)

    /** Refuses [request], as the coordinator has decided. */
    fun refused(request: LiveRequest, refusal: Refusal) = queueing.refused(request, refusal)

    /** Places queued requests of [service], most urgent first, or asks the coordinator to do so. */
    fun place(service: ServiceId) = queueing.place(service)

    fun placeAll() = queueing.placeAll()

    fun prefillEnded(id: RequestId, attempt: Int, result: PrefillResult) = attempts.prefillEnded(id, attempt, result)

    /** Returns whether other hosts must learn that a stream has begun. */
    fun answerStarted(event: RoutingEvent.AnswerStarted): Boolean = attempts.answerStarted(event)

    fun answerProgressed(id: RequestId, attempt: Int, events: Int) = attempts.answerProgressed(id, attempt, events)

    fun attemptEnded(id: RequestId, attempt: Int, result: AttemptResult, events: Int) =
        attempts.attemptEnded(id, attempt, result, events)

    fun callerGone(id: RequestId, closedHere: Boolean) {
        val request = live[id] ?: return
        if (closedHere) request.lastReason = "this host closed the caller's connection"
        out.emit(RoutingEffect.Abandon(id, request.attempt))
        endings.fail(request, ResultCode.CALLER_GONE)
    }

    fun tick() {
        queueing.tick()
        for (request in live.all) {
            when {
                out.now >= request.deadlineAt -> timedOut(request)
                request.phase == LiveRequest.Phase.QUEUED -> queueing.endIfHopeless(request)
                request.phase == LiveRequest.Phase.PREFILL -> attempts.abandonUnresponsivePrefill(request)
                else -> attempts.abandonUnresponsiveServer(request)
            }
        }
        queueing.placeAll()
    }

    fun failAll() = live.all.forEach { request ->
        out.emit(RoutingEffect.Abandon(request.id, request.attempt))
        if (request.mayHaveRun) {
            endings.fail(
                request,
                ResultCode.STREAM_BROKEN,
            )
        } else {
            endings.refuse(request, ResultCode.DRAINING)
        }
    }

    private fun timedOut(request: LiveRequest) {
        if (request.phase == LiveRequest.Phase.QUEUED) {
            endings.endUnplaced(request)
        } else {
            out.emit(RoutingEffect.Abandon(request.id, request.attempt))
            endings.fail(request, ResultCode.BACKEND_TIMEOUT)
        }
    }
}
