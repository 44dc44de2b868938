package io.anvilvalve.rules.routing

import io.anvilvalve.api.result.ResultCode

/** Ends requests: answers or refuses their callers, and releases what is reserved for them. */
internal class RequestEndings(
    private val out: Outbox,
    private val live: LiveRequests,
    private val queues: Queues,
    private val loads: ServerLoads,
    private val delegated: DelegatedPlacement,
    private val drain: Drain,
    private val completion: RequestCompletion,
    private val pauses: ServerPauses,
) {
    /** Ends a request that cannot be placed. It is refused as not executed only if no server can have executed it. */
    fun endUnplaced(request: LiveRequest, refusal: Refusal? = null) {
        if (request.isUntouched) {
            refuse(request, ResultCode.DEADLINE_UNREACHABLE, refusal)
        } else {
            fail(request, ResultCode.BACKEND_FAILED)
        }
    }

    fun relayFailure(request: LiveRequest, status: Int) {
        if (status in NOT_EXECUTED_STATUSES || request.startedAt != null) {
            // These statuses would tell the caller that the request was not executed.
            fail(request, ResultCode.BACKEND_FAILED)
            return
        }
        out.emit(RoutingEffect.RelayFailure(request.id))
        end(request, ResultCode.BACKEND_FAILED)
    }

    /** Refuses [request] as [refusal] or, without it, the state of the queue and of this host say. */
    fun refuse(request: LiveRequest, code: ResultCode, refusal: Refusal? = null) {
        release(request)
        dropSource(request)
        val decided = refusal
            ?: if (code == ResultCode.DRAINING) Refusal(drain.retryAfter) else queues.refusal(request)
        completion.refuse(request, code, decided)
        live.remove(request)
    }

    fun withhold(request: LiveRequest) =
        refuse(request, ResultCode.PROMPT_WITHHELD, Refusal(CrashingParts.WITHHOLDING_TIME))

    fun fail(request: LiveRequest, code: ResultCode) {
        out.emit(RoutingEffect.Fail(request.id, code))
        end(request, code)
    }

    fun end(request: LiveRequest, code: ResultCode?) {
        release(request)
        if (request.startedAt == null) dropSource(request)
        completion.finish(request, code)
        live.remove(request)
    }

    /** Releases what is reserved for [request]; [rejected] tells whether its server had no capacity for it. */
    fun release(request: LiveRequest, rejected: Boolean = false) {
        delegated.cancel(request)
        queues.remove(request)
        delegated.release(request, rejected)
        request.server?.let { loads.remove(it.id, request.reservedTokens) }
        request.server = null
        releasePrefill(request)
    }

    fun releasePrefill(request: LiveRequest) {
        request.prefillServer?.let { loads.remove(it.id, request.promptTokens) }
        request.prefillServer = null
        pauses.ended(request.id)
    }

    /**
     * Discards the prefill result and releases its handle if it has not expired. A call that was executed may already
     * have consumed the result.
     */
    fun dropSource(request: LiveRequest) {
        request.source?.let { if (out.now < request.sourceExpiresAt) out.emit(RoutingEffect.ReleaseHandle(it)) }
        request.source = null
    }

    private companion object {
        /** Statuses that tell the caller that the request was not executed. */
        val NOT_EXECUTED_STATUSES = setOf(408, 421, 429, 503)
    }
}
