package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.log.Member
import io.anvilvalve.api.result.Executed
import io.anvilvalve.api.result.LogEvent
import io.anvilvalve.api.result.ResultCode
import io.anvilvalve.api.routing.Backend
import io.anvilvalve.api.routing.RequestKind
import io.anvilvalve.api.routing.ServiceId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Life cycle of admitted requests: queue, prefill, call, retry, completion.
 *
 * @param placer the coordinator that places the requests; null while this host places them itself.
 */
internal class Requests(
    private val out: Outbox,
    private val placement: Placement,
    private val loads: ServerLoads,
    private val retries: SharedRetries,
    private val queues: Queues,
    private val completion: RequestCompletion,
    private val outcomes: ServerOutcomes,
    private val delegated: DelegatedPlacement,
    private val remote: RemotePlacements,
    private val drain: Drain,
    private val crashingParts: CrashingParts,
    private val placer: () -> Member?,
) {
    private val inFlight = LinkedHashMap<RequestId, LiveRequest>()
    private val answerTimes = AnswerTimes()

    val size: Int get() = inFlight.size

    fun accept(request: LiveRequest) {
        inFlight[request.id] = request
        if (crashingParts.isWithheld(request)) return withhold(request)
        if (drain.active && !canFinish(request, queues.expectedWait(request))) {
            return refuse(request, ResultCode.DRAINING)
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
        if (server == null || server.leaving || server.id in request.triedServers) {
            // This host knows a newer or an older state of the backend servers than the coordinator.
            placeHere(request.service.id)
        } else {
            queues.remove(request)
            start(request, SelectedServers(server, prefill, tokensAhead))
        }
    }

    /** Refuses [request], which the coordinator cannot place within [wait]. */
    fun refused(request: LiveRequest, wait: Duration) = endUnplaced(request, wait)

    fun callerGone(id: RequestId, closedHere: Boolean) {
        val request = inFlight[id] ?: return
        if (closedHere) request.lastReason = "this host closed the caller's connection"
        out.emit(RoutingEffect.Abandon(id, request.attempt))
        fail(request, ResultCode.CALLER_GONE)
    }

    fun prefillEnded(id: RequestId, attempt: Int, result: PrefillResult) {
        val request = inFlight[id]?.takeIf { it.attempt == attempt && it.phase == LiveRequest.Phase.PREFILL }
        if (request == null) return
        val server = checkNotNull(request.prefillServer)
        releasePrefill(request)
        when (result) {
            is PrefillResult.Done -> {
                val processedTokens = request.tokensAhead + request.promptTokens
                outcomes.prefilled(server, out.now - request.sentAt, processedTokens, request.promptTokens)
                request.source = PrefillSource(server, result.handle)
                request.sourceExpiresAt = out.now + sourceLifetime(request)
                forwardOrRefuse(request)
            }

            is PrefillResult.Failed -> {
                recordFailure(server, result.unreachable)
                request.lastReason = "prefill at ${server.id} failed: ${result.reason}"
                logRetry(request)
                retryPrefill(request)
            }
        }
        place(request.service.id)
    }

    private fun forwardOrRefuse(request: LiveRequest) =
        if (isTooLate(request)) refuse(request, ResultCode.DRAINING) else forwardOrWithhold(request, request.source)

    /** A part may have been found to crash engines while [request] was queued or its prompt was processed. */
    private fun forwardOrWithhold(request: LiveRequest, source: PrefillSource?) = when {
        !crashingParts.isWithheld(request) -> forward(request, source)
        isUntouched(request) -> withhold(request)
        else -> fail(request, ResultCode.BACKEND_FAILED)
    }

    fun answerStarted(event: RoutingEvent.AnswerStarted) {
        val request = inFlight[event.id]?.takeIf { it.attempt == event.attempt } ?: return
        if (request.startedAt == null) request.startedAt = out.now
        crashingParts.recordAnswer(request)
        request.answerEndsWithConnection = event.endsWithConnection
    }

    /** Adjusts the memory reserved for a streamed answer to its progress. */
    fun answerProgressed(id: RequestId, attempt: Int, events: Int) {
        val request = inFlight[id]?.takeIf { it.attempt == attempt && it.phase == LiveRequest.Phase.SENT } ?: return
        val engine = request.service.engine ?: return
        val server = request.server ?: return
        request.generatedTokens = events * engine.tokensPerEvent
        val needed = request.memoryTokens
        loads.adjust(server.id, needed - request.reservedTokens)
        request.reservedTokens = needed
    }

    fun attemptEnded(id: RequestId, attempt: Int, result: AttemptResult) {
        val request = inFlight[id]?.takeIf { it.attempt == attempt && it.phase == LiveRequest.Phase.SENT } ?: return
        request.lastReason = failureReason(result)
        val server = checkNotNull(request.server)
        release(request)
        when (result) {
            AttemptResult.Complete -> {
                request.source = null
                outcomes.answered(server, out.now - request.sentAt, request.reservedTokens)
                answerTimes.record(request, out.now - request.sentAt)
                end(request, code = null)
            }

            is AttemptResult.NotExecuted -> {
                if (result.status == MISDIRECTED) recordUnreachable(server) else outcomes.rejected(server)
                // An engine that is full and one that cannot fetch the prefill result give the same answer.
                if (result.status != MISDIRECTED) dropSource(request)
                retryNotExecuted(request, budget = true)
            }

            is AttemptResult.ErrorAnswer -> {
                outcomes.failed(server)
                request.runs++
                if (!tryRepeat(request)) relayFailure(request, result.status)
            }

            is AttemptResult.Failed -> attemptFailed(request, server, result)
        }
        place(request.service.id)
    }

    private fun failureReason(result: AttemptResult): String? = when (result) {
        AttemptResult.Complete -> null
        is AttemptResult.NotExecuted -> "not executed, status ${result.status}"
        is AttemptResult.ErrorAnswer -> "status ${result.status}"
        is AttemptResult.Failed -> result.reason
    }

    /** Places queued requests of [service], most urgent first, or asks the coordinator to do so. */
    fun place(service: ServiceId) {
        val to = placer()
        if (to == null) {
            placeHere(service)
        } else {
            queues.undelegated(service).filterIsInstance<LiveRequest>().filter(delegated::mayAsk)
                .forEach { delegated.ask(it, to) }
            // Places what no coordinator answered, and requests of hosts that consider this host the coordinator.
            placeHere(service)
        }
    }

    fun placeAll() = queues.services.forEach(::place)

    fun tick() {
        delegated.tick().map { it.service.id }.distinct().forEach(::place)
        remote.tick()
        for (request in inFlight.values.toList()) {
            when {
                out.now >= request.deadlineAt -> timedOut(request)
                request.phase == LiveRequest.Phase.QUEUED -> endIfHopeless(request)
                request.phase == LiveRequest.Phase.PREFILL -> abandonUnresponsivePrefill(request)
                else -> abandonUnresponsiveServer(request)
            }
        }
        placeAll()
    }

    /** Refuses a queued request that has waited too long, or that cannot end before this host must exit. */
    private fun endIfHopeless(request: LiveRequest) = when {
        queues.isOverdue(request) -> endUnplaced(request)
        isUntouched(request) && !canFinish(request) -> refuse(request, ResultCode.DRAINING)
        else -> Unit
    }

    fun failAll() = inFlight.values.toList().forEach { request ->
        out.emit(RoutingEffect.Abandon(request.id, request.attempt))
        if (mayHaveRun(request)) fail(request, ResultCode.STREAM_BROKEN) else refuse(request, ResultCode.DRAINING)
    }

    private fun queueOrRefuse(request: LiveRequest) {
        if (queues.mayWait(request)) {
            out.log(
                LogEvent.REQUEST_QUEUED,
                "request" to request.id,
                "service" to request.service.id,
                "queued_tokens" to queues.queuedTokens(request.service.id),
            )
        } else {
            refuse(request, ResultCode.DEADLINE_UNREACHABLE)
        }
    }

    private fun placeHere(service: ServiceId) = queues.dispatch(service, ::tryPlace)

    private fun tryPlace(request: QueuedRequest): Boolean = when (request) {
        is RemoteRequest -> remote.tryPlace(request)
        is LiveRequest -> tryPlace(request)
    }

    private fun tryPlace(request: LiveRequest): Boolean {
        val isPrefilled = validSource(request) != null
        val need = PlacementNeed(
            request.service,
            request.memoryTokens,
            if (isPrefilled) 0 else request.promptTokens,
            request.triedServers,
        )
        start(request, placement.select(need) ?: return false)
        return true
    }

    private fun start(request: LiveRequest, selected: SelectedServers) {
        val prefillTime = selected.prefill?.let { placement.prefillTime(it, request.promptTokens) } ?: Duration.ZERO
        if (isUntouched(request) && !canFinish(request, prefillTime)) return refuse(request, ResultCode.DRAINING)
        request.server = selected.server
        request.reservedTokens = if (request.service.engine == null) 0 else request.memoryTokens
        loads.add(selected.server.id, request.reservedTokens)
        val source = validSource(request)
        if (source != null || selected.prefill == null) {
            forwardOrWithhold(request, source)
        } else {
            startPrefill(request, selected.prefill, selected.tokensAhead)
        }
    }

    /**
     * Whether [request], whose answer is requested after [wait], is expected to end before this host must exit. A request
     * that will probably end in time is better started than refused while few other hosts are ready, or if it was
     * refused before.
     */
    private fun canFinish(request: LiveRequest, wait: Duration = Duration.ZERO): Boolean {
        if (!drain.active) return true
        val expected = answerTimes.expected(request, cautious = drain.canOthersServe && !request.isCallerRetry)
        return drain.canFinish(wait + expected, isStream(request))
    }

    /** Whether [request], whose prompt has been processed, can still be refused and is expected to be cut off. */
    private fun isTooLate(request: LiveRequest): Boolean {
        if (!drain.active || !isUntouched(request)) return false
        return !drain.canFinish(answerTimes.expected(request, cautious = false), stream = false)
    }

    private fun isStream(request: LiveRequest) = request.route.kind == RequestKind.STREAM

    /** Whether no server can have executed [request]. */
    private fun isUntouched(request: LiveRequest) = request.runs == 0 && request.startedAt == null

    private fun validSource(request: LiveRequest) = request.source?.takeIf { out.now < request.sourceExpiresAt }

    private fun startPrefill(request: LiveRequest, server: Backend, tokensAhead: Int) {
        request.phase = LiveRequest.Phase.PREFILL
        request.attempt++
        request.prefills++
        request.prefillServer = server
        request.tokensAhead = tokensAhead
        request.sentAt = out.now
        loads.add(server.id, request.promptTokens)
        out.log(
            LogEvent.REQUEST_SENT,
            "request" to request.id,
            "attempt" to request.attempt,
            "stage" to "prefill",
            "server" to server.id,
            "ahead_tokens" to request.tokensAhead,
            "configuration" to request.configurationVersion,
            *placement.stateFields(),
        )
        out.emit(RoutingEffect.Prefill(request.id, request.attempt, server, terms(request)))
    }

    /**
     * Retries the prefill at another engine within the retry budget; otherwise the decode engine processes the prompt.
     */
    private fun retryPrefill(request: LiveRequest) {
        val decode = checkNotNull(request.server)
        val mayRepeat = request.prefills < MAX_PREFILLS && retries.tryReserveRetry(request.service.id)
        val server = if (mayRepeat) {
            placement.prefill(request.service.id, request.promptTokens, decode, request.triedServers)
        } else {
            null
        }
        if (server == null) forwardOrRefuse(request) else startPrefill(request, server, loads.tokens(server.id))
    }

    private fun forward(request: LiveRequest, source: PrefillSource?) {
        val server = checkNotNull(request.server)
        request.phase = LiveRequest.Phase.SENT
        request.attempt++
        request.forwards++
        request.sentAt = out.now
        request.triedServers += server.id
        out.log(
            LogEvent.REQUEST_SENT,
            "request" to request.id,
            "attempt" to request.attempt,
            "stage" to if (source == null) "whole" else "decode",
            "server" to server.id,
            "at_server" to loads.requests(server.id),
            "tokens_at_server" to loads.tokens(server.id),
            "waited_ms" to (out.now - request.arrivedAt).inWholeMilliseconds,
            "configuration" to request.configurationVersion,
            *placement.stateFields(),
        )
        out.emit(
            RoutingEffect.Forward(request.id, request.attempt, server, terms(request), source, isStream(request)),
        )
    }

    private fun sourceLifetime(request: LiveRequest) =
        checkNotNull(request.service.engine).handleLifetime - RoutingTimes.HANDLE_MARGIN

    private fun terms(request: LiveRequest) =
        CallTerms(request.deadlineAt - out.now, request.organisation?.id, request.urgency)

    private fun recordFailure(server: Backend, unreachable: Boolean) =
        if (unreachable) recordUnreachable(server) else outcomes.failed(server)

    private fun recordUnreachable(server: Backend) = placement.health(server).unreachable(out.now)

    private fun attemptFailed(request: LiveRequest, server: Backend, result: AttemptResult.Failed) {
        recordFailure(server, result.unreachable)
        if (result.executed == Executed.NO) {
            retryNotExecuted(request, budget = !result.unreachable)
            return
        }
        request.runs++
        request.source = null
        if (request.startedAt == null && request.service.engine != null) crashingParts.recordBreak(request, server)
        if (!result.resumable || !tryRepeat(request)) {
            fail(request, if (request.startedAt == null) ResultCode.BACKEND_FAILED else ResultCode.STREAM_BROKEN)
        }
    }

    /**
     * Discards the prefill result and releases its handle if it has not expired. A call that was executed may already
     * have consumed the result.
     */
    private fun dropSource(request: LiveRequest) {
        request.source?.let { if (out.now < request.sourceExpiresAt) out.emit(RoutingEffect.ReleaseHandle(it)) }
        request.source = null
    }

    /** Retries a request that may have been executed; returns false if it must not be repeated. */
    private fun tryRepeat(request: LiveRequest): Boolean {
        val allowed = request.route.repeatable && request.runs < request.route.maxAttempts
        if (!allowed || request.deadlineAt - out.now < MIN_CALL_TIME) return false
        if (request.startedAt == null && crashingParts.isSuspect(request)) return false
        if (!retries.tryReserveRetry(request.service.id)) return false
        requeue(request)
        return true
    }

    /**
     * Places a request again that its last server did not execute; [budget] states whether this uses the retry budget.
     */
    private fun retryNotExecuted(request: LiveRequest, budget: Boolean) {
        val inTime =
            request.deadlineAt - out.now >= MIN_CALL_TIME && request.notExecutedCalls++ < MAX_NOT_EXECUTED_CALLS
        if (inTime && (!budget || retries.tryReserveRetry(request.service.id))) {
            requeue(request)
        } else {
            endUnplaced(request)
        }
    }

    private fun requeue(request: LiveRequest) {
        logRetry(request)
        request.phase = LiveRequest.Phase.QUEUED
        queues.add(request)
        place(request.service.id)
    }

    private fun logRetry(request: LiveRequest) = out.log(
        LogEvent.REQUEST_RETRIED,
        "request" to request.id,
        "attempt" to request.attempt,
        "runs" to request.runs,
        "server" to request.triedServers.lastOrNull(),
        "started" to (request.startedAt != null),
        "shared_parts" to request.request.sharedParts.joinToString(" "),
        "reason" to request.lastReason,
    )

    /** Abandons a server that has not answered an idempotent request in time, if another server is available. */
    private fun abandonUnresponsiveServer(request: LiveRequest) {
        val unanswered = request.phase == LiveRequest.Phase.SENT && request.startedAt == null
        if (!unanswered || request.service.engine != null || !request.route.repeatable) return
        if (out.now - request.sentAt < ANSWER_START_TIMEOUT || request.runs + 1 >= request.route.maxAttempts) return
        if (placement.plain(request.service.id, request.triedServers) == null) return
        out.emit(RoutingEffect.Abandon(request.id, request.attempt))
        attemptEnded(request.id, request.attempt, AttemptResult.Failed("no answer started in time", Executed.UNKNOWN))
    }

    /**
     * Abandons a prefill engine that has not answered within several times the expected time. A prefill can safely be
     * repeated.
     */
    private fun abandonUnresponsivePrefill(request: LiveRequest) {
        val server = request.prefillServer ?: return
        val limit = maxOf(MIN_PREFILL_TIMEOUT, placement.prefillTime(server, 0) * PREFILL_TIMEOUT_FACTOR)
        if (out.now - request.sentAt < limit) return
        out.emit(RoutingEffect.Abandon(request.id, request.attempt))
        prefillEnded(request.id, request.attempt, PrefillResult.Failed("no prefill result in time", unreachable = true))
    }

    private fun timedOut(request: LiveRequest) {
        if (request.phase == LiveRequest.Phase.QUEUED) {
            endUnplaced(request)
        } else {
            out.emit(RoutingEffect.Abandon(request.id, request.attempt))
            fail(request, ResultCode.BACKEND_TIMEOUT)
        }
    }

    /** Ends a request that cannot be placed. It is refused as not executed only if no server can have executed it. */
    private fun endUnplaced(request: LiveRequest, wait: Duration? = null) {
        if (isUntouched(request)) {
            refuse(request, ResultCode.DEADLINE_UNREACHABLE, wait)
        } else {
            fail(request, ResultCode.BACKEND_FAILED)
        }
    }

    private fun mayHaveRun(request: LiveRequest) = request.runs > 0 || request.phase == LiveRequest.Phase.SENT

    private fun relayFailure(request: LiveRequest, status: Int) {
        if (status in NOT_EXECUTED_STATUSES || request.startedAt != null) {
            // These statuses would tell the caller that the request was not executed.
            fail(request, ResultCode.BACKEND_FAILED)
            return
        }
        out.emit(RoutingEffect.RelayFailure(request.id))
        end(request, ResultCode.BACKEND_FAILED)
    }

    private fun refuse(request: LiveRequest, code: ResultCode, wait: Duration? = null) {
        release(request)
        dropSource(request)
        val returnAfter = if (code == ResultCode.DRAINING) drain.retryAfter else queues.expectedWait(request)
        completion.refuse(request, code, wait ?: returnAfter)
        inFlight.remove(request.id)
    }

    private fun withhold(request: LiveRequest) =
        refuse(request, ResultCode.PROMPT_WITHHELD, CrashingParts.WITHHOLDING_TIME)

    private fun fail(request: LiveRequest, code: ResultCode) {
        out.emit(RoutingEffect.Fail(request.id, code))
        end(request, code)
    }

    private fun end(request: LiveRequest, code: ResultCode?) {
        release(request)
        if (request.startedAt == null) dropSource(request)
        completion.finish(request, code)
        inFlight.remove(request.id)
    }

    private fun release(request: LiveRequest) {
        delegated.cancel(request)
        queues.remove(request)
        request.server?.let { loads.remove(it.id, request.reservedTokens) }
        request.server = null
        releasePrefill(request)
    }

    private fun releasePrefill(request: LiveRequest) {
        request.prefillServer?.let { loads.remove(it.id, request.promptTokens) }
        request.prefillServer = null
    }

    private companion object {
        const val MISDIRECTED = 421

        /** A failed prefill is retried once at another engine; after that the decode engine processes the prompt. */
        const val MAX_PREFILLS = 2

        /** An engine of normal speed processes a prompt in at most a quarter of this time. */
        val MIN_PREFILL_TIMEOUT = 800.milliseconds
        const val PREFILL_TIMEOUT_FACTOR = 3

        /** Limits the calls for one request if no server executes it. */
        const val MAX_NOT_EXECUTED_CALLS = 4

        /** A call with less time left cannot be answered. */
        val MIN_CALL_TIME = 60.milliseconds

        /** Longer than the slowest usual answer of a plain service, which takes five times the mean of about 85 ms. */
        val ANSWER_START_TIMEOUT: Duration = 600.milliseconds

        /** Statuses that tell the caller that the request was not executed. */
        val NOT_EXECUTED_STATUSES = setOf(408, 421, 429, 503)
    }
}
