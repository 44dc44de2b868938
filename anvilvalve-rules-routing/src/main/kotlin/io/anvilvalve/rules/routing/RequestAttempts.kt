package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.peer.CostSample
import io.anvilvalve.api.result.Executed
import io.anvilvalve.api.result.LogEvent
import io.anvilvalve.api.result.ResultCode
import io.anvilvalve.api.routing.Backend
import io.anvilvalve.api.routing.ServiceId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Calls of requests to the backend servers selected for them: prefill, call, retry and completion. */
internal class RequestAttempts(
    private val out: Outbox,
    private val live: LiveRequests,
    private val endings: RequestEndings,
    private val placement: Placement,
    private val loads: ServerLoads,
    private val retries: SharedRetries,
    private val outcomes: ServerOutcomes,
    private val costs: CostModel,
    private val estimate: FinishEstimate,
    private val crashingParts: CrashingParts,
    private val pauses: ServerPauses,
    private val streams: StreamVersions,
    private val queue: Queue,
) {
    /** Where requests wait for a server again. */
    interface Queue {
        /** Places [request] again, whose last call did not end it. */
        fun requeue(request: LiveRequest)

        /** Capacity at a server of [service] was released. */
        fun freed(service: ServiceId)
    }

    fun start(request: LiveRequest, selected: SelectedServers) {
        val prefillTime = selected.prefill?.let { placement.prefillTime(it, request.promptTokens) } ?: Duration.ZERO
        if (request.isUntouched &&
            !estimate.canFinish(request, prefillTime)
        ) {
            return endings.refuse(request, ResultCode.DRAINING)
        }
        if (request.placedAt == null) request.placedAt = out.now
        request.server = selected.server
        request.reservedTokens = if (request.service.engine == null) 0 else request.memoryTokens
        loads.add(selected.server.id, request.reservedTokens)
        val source = request.sourceAt(out.now)
        if (source != null || selected.prefill == null) {
            forwardOrWithhold(request, source)
        } else {
            startAllowedPrefill(request, selected.prefill, selected.tokensAhead)
        }
    }

    fun prefillEnded(id: RequestId, attempt: Int, result: PrefillResult) {
        val request = live.find(id, attempt, LiveRequest.Phase.PREFILL) ?: return
        val server = checkNotNull(request.prefillServer)
        if (result is PrefillResult.Done) pauses.answered(server, request.id)
        endings.releasePrefill(request)
        when (result) {
            is PrefillResult.Done -> {
                val processedTokens = request.tokensAhead + request.promptTokens
                outcomes.prefilled(server, out.now - request.sentAt, processedTokens, request.promptTokens)
                request.source = PrefillSource(server, result.handle)
                request.sourceExpiresAt = out.now + sourceLifetime(request)
                forwardOrRefuse(request)
            }

            is PrefillResult.Failed -> {
                if (result.isServerFault) recordFailure(server, result.unreachable)
                request.lastReason = "prefill at ${server.id} failed: ${result.reason}"
                logRetry(request)
                if (result.isServerFault) retryPrefill(request) else forwardOrRefuse(request)
            }
        }
        queue.freed(request.service.id)
    }

    private fun forwardOrRefuse(request: LiveRequest) = if (estimate.isTooLate(request)) {
        endings.refuse(request, ResultCode.DRAINING)
    } else {
        forwardOrWithhold(request, request.source)
    }

    /** A part may have been found to crash engines while [request] was queued or its prompt was processed. */
    private fun forwardOrWithhold(request: LiveRequest, source: PrefillSource?) = when {
        !crashingParts.isWithheld(request) -> forward(request, source)
        request.isUntouched -> endings.withhold(request)
        else -> endings.fail(request, ResultCode.BACKEND_FAILED)
    }

    /** Returns whether other hosts must learn that a stream has begun. */
    fun answerStarted(event: RoutingEvent.AnswerStarted): Boolean {
        val request = live[event.id]?.takeIf { it.attempt == event.attempt } ?: return false
        if (request.startedAt == null) request.startedAt = out.now
        request.server?.let { pauses.answered(it, request.id) }
        crashingParts.recordAnswer(request)
        request.answerEndsWithConnection = event.endsWithConnection
        return streams.began(request)
    }

    /** Adjusts the memory reserved for a streamed answer to its progress. */
    fun answerProgressed(id: RequestId, attempt: Int, events: Int) {
        val request = live.find(id, attempt, LiveRequest.Phase.SENT) ?: return
        val engine = request.service.engine ?: return
        val server = request.server ?: return
        request.generatedTokens = events * engine.tokensPerEvent
        val needed = request.memoryTokens
        loads.adjust(server.id, needed - request.reservedTokens)
        request.reservedTokens = needed
    }

    fun attemptEnded(id: RequestId, attempt: Int, result: AttemptResult, events: Int = 0) {
        val request = live.find(id, attempt, LiveRequest.Phase.SENT) ?: return
        request.lastReason = failureReason(result)
        val server = checkNotNull(request.server)
        if (isAnswer(result)) pauses.answered(server, request.id)
        val isFull = result is AttemptResult.NotExecuted && result.status != MISDIRECTED && !wasSentLate(request)
        endings.release(request, rejected = isFull)
        when (result) {
            AttemptResult.Complete -> {
                request.source = null
                recordAnswer(request, server, events)
                estimate.record(request, out.now - request.sentAt)
                endings.end(request, code = null)
            }

            is AttemptResult.NotExecuted -> {
                if (result.status == MISDIRECTED) recordUnreachable(server)
                if (isFull) outcomes.rejected(server)
                // An engine that is full and one that cannot fetch the prefill result give the same answer.
                if (result.status != MISDIRECTED) {
                    endings.dropSource(request)
                    allowTriedServers(request)
                }
                retryNotExecuted(request, budget = true)
            }

            is AttemptResult.ErrorAnswer -> errorAnswered(request, server, result.status)

            is AttemptResult.Failed -> attemptFailed(request, server, result)
        }
        queue.freed(request.service.id)
    }

    /**
     * Records what an answer has cost, without the way and the time that it has probably waited at the server. Its actual length
     * tells its cost better than the expected one, if it is known.
     */
    private fun recordAnswer(request: LiveRequest, server: Backend, events: Int) {
        val sinceSent = out.now - request.sentAt
        val elapsed = request.expectedFinish?.workTime(sinceSent) ?: sinceSent
        val service = request.service.id
        val tokensPerEvent = request.service.engine?.tokensPerEvent ?: 0
        val tokens = if (tokensPerEvent == 0) 0 else maxOf(request.generatedTokens, events * tokensPerEvent)
        val percent = when {
            request.service.engine == null || tokens == 0 -> request.costPercent
            else -> costs.costPercent(service, request.routeName, request.organisationId, tokens)
        }
        outcomes.answered(server, elapsed, request.reservedTokens, percent)
        if (request.service.engine != null && tokens == 0) return
        val claimed = request.request.expectedTokens ?: 0
        val millis = elapsed.inWholeMilliseconds.toInt()
        costs.record(CostSample(service, request.routeName, request.organisationId, millis, tokens, claimed))
    }

    /** A request that every server has rejected for lack of capacity would otherwise wait until its deadline. */
    private fun allowTriedServers(request: LiveRequest) {
        if (!placement.rules.hasOther(request.need(placement.dataCentre, out.now))) request.triedServers.clear()
    }

    /** Whether the server has done what it could for the request. */
    private fun isAnswer(result: AttemptResult) = result == AttemptResult.Complete ||
        (result is AttemptResult.ErrorAnswer && ErrorStatuses.followsFromRequest(result.status))

    private fun failureReason(result: AttemptResult): String? = when (result) {
        AttemptResult.Complete -> null
        is AttemptResult.NotExecuted -> "not executed, status ${result.status}"
        is AttemptResult.ErrorAnswer -> "status ${result.status}"
        is AttemptResult.Failed -> result.reason
    }

    /** Abandons a server that has not answered an idempotent request in time, if another server is available. */
    fun abandonUnresponsiveServer(request: LiveRequest) {
        val unanswered = request.phase == LiveRequest.Phase.SENT && request.startedAt == null
        if (!unanswered || request.service.engine != null || !request.route.repeatable) return
        if (out.now - request.sentAt < ANSWER_START_TIMEOUT || request.runs + 1 >= request.route.maxAttempts) return
        if (placement.plain(request.service.id, request.triedServers, request.need(placement.dataCentre, out.now)) ==
            null
        ) {
            return
        }
        out.emit(RoutingEffect.Abandon(request.id, request.attempt))
        attemptEnded(request.id, request.attempt, AttemptResult.Failed("no answer started in time", Executed.UNKNOWN))
    }

    /**
     * Abandons a prefill engine that has not answered within several times the expected time. A prefill can safely be
     * repeated.
     */
    fun abandonUnresponsivePrefill(request: LiveRequest) {
        val server = request.prefillServer ?: return
        val limit = maxOf(MIN_PREFILL_TIMEOUT, placement.prefillTime(server, 0) * PREFILL_TIMEOUT_FACTOR)
        if (out.now - request.sentAt < limit) return
        out.emit(RoutingEffect.Abandon(request.id, request.attempt))
        prefillEnded(request.id, request.attempt, PrefillResult.Failed("no prefill result in time", unreachable = true))
    }

    /** Prefills at another engine than [selected] if that may get no calls; without one, the decode engine does it. */
    private fun startAllowedPrefill(request: LiveRequest, selected: Backend, tokensAhead: Int) {
        if (isAllowed(request, selected)) return startPrefill(request, selected, tokensAhead)
        val other = selectPrefill(request)
        if (other == null) forwardOrWithhold(request, null) else startPrefill(request, other, loads.tokens(other.id))
    }

    private fun startPrefill(request: LiveRequest, server: Backend, tokensAhead: Int) {
        pauses.sent(server, request.id)
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
            "expected_ms" to placement.prefillTime(server, 0).inWholeMilliseconds,
            "configuration" to request.configurationVersion,
            *placement.stateFields(),
        )
        val terms = terms(request, mayReuse = request.prefills == 1)
        out.emit(RoutingEffect.Prefill(request.id, request.attempt, server, terms))
    }

    /**
     * Retries the prefill at another engine within the retry budget; otherwise the decode engine processes the prompt.
     */
    private fun retryPrefill(request: LiveRequest) {
        val mayRepeat = request.prefills < MAX_PREFILLS && retries.tryReserveRetry(request.service.id)
        val server = if (mayRepeat) selectPrefill(request) else null
        if (server == null) forwardOrRefuse(request) else startPrefill(request, server, loads.tokens(server.id))
    }

    private fun selectPrefill(request: LiveRequest): Backend? = placement.prefill(
        request.service.id,
        request.promptTokens,
        checkNotNull(request.server),
        request.triedServers,
        request.need(placement.dataCentre, out.now),
    )?.also(placement.rules::selected)

    private fun isAllowed(request: LiveRequest, server: Backend) =
        placement.rules.mayReceive(server, request.need(placement.dataCentre, out.now))

    /**
     * Places [request] again, whose server may get no calls any more. No call was sent, so this is no retry, and a
     * prefill result is still used.
     */
    private fun placeAgain(request: LiveRequest, server: Backend) {
        out.log(LogEvent.SENDING_WITHHELD, "request" to request.id, "server" to server.id)
        endings.release(request)
        queue.requeue(request)
    }

    private fun forward(request: LiveRequest, source: PrefillSource?) {
        val server = checkNotNull(request.server)
        if (!isAllowed(request, server)) return placeAgain(request, server)
        pauses.sent(server, request.id)
        request.phase = LiveRequest.Phase.SENT
        request.attempt++
        request.forwards++
        request.sentAt = out.now
        request.triedServers += server.id
        val expected = placement.expectedFinish(server, request.need(placement.dataCentre, out.now))
        request.expectedFinish = expected
        out.log(
            LogEvent.REQUEST_SENT,
            "request" to request.id,
            "attempt" to request.attempt,
            "stage" to if (source == null) "whole" else "decode",
            "server" to server.id,
            "version" to server.version,
            "resumes" to request.request.resumption?.attemptId,
            "at_server" to loads.requests(server.id),
            "tokens_at_server" to loads.tokens(server.id),
            "waited_ms" to (out.now - request.arrivedAt).inWholeMilliseconds,
            "cost_percent" to request.costPercent,
            "organisation" to request.organisation?.id,
            "quota_tokens" to request.reservation?.tokens,
            "quota_used" to request.reservation?.used,
            "usage_age_ms" to request.reservation?.usageAge?.inWholeMilliseconds,
            *expected.fields(),
            "configuration" to request.configurationVersion,
            *placement.stateFields(),
        )
        out.emit(
            RoutingEffect.Forward(
                request.id,
                request.attempt,
                server,
                terms(request, mayReuseConnection(request)),
                source,
                request.isStream,
            ),
        )
    }

    private fun sourceLifetime(request: LiveRequest) =
        checkNotNull(request.service.engine).handleLifetime - RoutingTimes.HANDLE_MARGIN

    private fun terms(request: LiveRequest, mayReuse: Boolean) =
        CallTerms(request.deadlineAt - out.now, request.organisation?.id, request.urgency, mayReuse)

    /**
     * Only the first call may fail because of a connection that the server closes, so that the connections take at most
     * one attempt of a request, and none that is its last. A stream on a kept connection whose server lost its power would
     * wait until its deadline, where a new connection fails within its time-out.
     */
    private fun mayReuseConnection(request: LiveRequest) = request.forwards == 1 && !request.isStream &&
        request.route.repeatable && request.runs + 1 < request.route.maxAttempts

    private fun recordFailure(server: Backend, unreachable: Boolean) =
        if (unreachable) recordUnreachable(server) else outcomes.failed(server)

    private fun recordUnreachable(server: Backend) = placement.health(server).unreachable(out.now)

    private fun errorAnswered(request: LiveRequest, server: Backend, status: Int) {
        request.runs++
        if (ErrorStatuses.followsFromRequest(status)) {
            endings.relayFailure(request, status)
            return
        }
        if (status !in TIMED_OUT_STATUSES || !wasSentLate(request)) outcomes.failed(server)
        if (!tryRepeat(request)) endings.relayFailure(request, status)
    }

    /**
     * Whether the latest call had less time than answers of the route may usually take. That the server gave it up or
     * did not accept it may follow from the caller's deadline.
     */
    private fun wasSentLate(request: LiveRequest) = request.deadlineAt - request.sentAt < request.route.objective

    private fun attemptFailed(request: LiveRequest, server: Backend, result: AttemptResult.Failed) {
        if (result.isServerFault) recordFailure(server, result.unreachable)
        if (result.executed == Executed.NO) {
            // Nothing was sent, so a server gets no call more.
            retryNotExecuted(request, budget = false)
            return
        }
        request.runs++
        request.source = null
        val isCrash = result.isServerFault && request.startedAt == null && request.service.engine != null
        if (isCrash) crashingParts.recordBreak(request, server)
        if (!result.isServerFault || !result.resumable || !tryRepeat(request)) {
            endings.fail(
                request,
                if (request.startedAt ==
                    null
                ) {
                    ResultCode.BACKEND_FAILED
                } else {
                    ResultCode.STREAM_BROKEN
                },
            )
        }
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
            endings.endUnplaced(request)
        }
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

    private fun requeue(request: LiveRequest) {
        logRetry(request)
        queue.requeue(request)
    }

    private companion object {
        const val MISDIRECTED = 421

        /** Request Timeout and Gateway Timeout. */
        val TIMED_OUT_STATUSES = setOf(408, 504)

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
    }
}
