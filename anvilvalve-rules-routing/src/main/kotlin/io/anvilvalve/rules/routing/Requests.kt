package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.result.Executed
import io.anvilvalve.api.result.LogEvent
import io.anvilvalve.api.result.ResultCode
import io.anvilvalve.api.routing.ServiceId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Life cycle of admitted requests: queue, prefill, call, retry, completion. */
internal class Requests(
    private val out: Outbox,
    private val placement: Placement,
    private val loads: ServerLoads,
    private val retries: SharedRetries,
    private val queues: Queues,
    private val completion: RequestCompletion,
    private val balance: StageBalance,
) {
    private val inFlight = LinkedHashMap<RequestId, LiveRequest>()

    val size: Int get() = inFlight.size

    fun accept(request: LiveRequest) {
        inFlight[request.id] = request
        retries.recordRequest(request.service.id)
        queues.add(request)
        place(request.service.id)
        if (request.phase == LiveRequest.Phase.QUEUED) queueOrRefuse(request)
    }

    fun callerGone(id: RequestId) {
        val request = inFlight[id] ?: return
        out.emit(RoutingEffect.Abandon(id, request.attempt))
        fail(request, ResultCode.CALLER_GONE)
    }

    fun prefillEnded(id: RequestId, attempt: Int, result: PrefillResult) {
        val request = inFlight[id]?.takeIf { it.attempt == attempt && it.phase == LiveRequest.Phase.PREFILL }
        if (request == null) return
        val server = checkNotNull(request.prefillServer)
        val health = placement.health(server)
        releasePrefill(request)
        when (result) {
            is PrefillResult.Done -> {
                health.succeeded()
                val processedTokens = request.tokensAhead + request.promptTokens
                if (processedTokens > 0) {
                    health.recordServiceTime((out.now - request.sentAt) * TOKENS_PER_UNIT / processedTokens)
                    balance.recordPrefill((out.now - request.sentAt) * request.promptTokens / processedTokens)
                }
                request.source = PrefillSource(server, result.handle)
                request.sourceExpiresAt = out.now + sourceLifetime(request)
                forward(request, request.source)
            }

            is PrefillResult.Failed -> {
                if (result.unreachable) health.unreachable(out.now) else health.failed(out.now)
                request.lastReason = "prefill at ${server.id} failed: ${result.reason}"
                logRetry(request)
                retryPrefill(request)
            }
        }
        place(request.service.id)
    }

    fun answerStarted(id: RequestId, attempt: Int) {
        val request = inFlight[id]?.takeIf { it.attempt == attempt } ?: return
        if (request.startedAt == null) request.startedAt = out.now
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
        val health = placement.health(server)
        release(request)
        when (result) {
            AttemptResult.Complete -> {
                request.source = null
                health.succeeded()
                health.recordServiceTime(out.now - request.sentAt)
                request.service.engine?.let {
                    balance.recordDecode(out.now - request.sentAt, request.reservedTokens, it)
                }
                end(request, code = null)
            }

            is AttemptResult.NotExecuted -> {
                if (result.status == MISDIRECTED) health.unreachable(out.now) else health.rejected(out.now)
                // An engine that is full and one that cannot fetch the prefill result give the same answer.
                if (result.status != MISDIRECTED) dropSource(request)
                retryNotExecuted(request, budget = true)
            }

            is AttemptResult.ErrorAnswer -> {
                health.failed(out.now)
                request.runs++
                if (!tryRepeat(request)) relayFailure(request, result.status)
            }

            is AttemptResult.Failed -> attemptFailed(request, health, result)
        }
        place(request.service.id)
    }

    private fun failureReason(result: AttemptResult): String? = when (result) {
        AttemptResult.Complete -> null
        is AttemptResult.NotExecuted -> "not executed, status ${result.status}"
        is AttemptResult.ErrorAnswer -> "status ${result.status}"
        is AttemptResult.Failed -> result.reason
    }

    /** Places queued requests of [service], most urgent first. */
    fun place(service: ServiceId) = queues.dispatch(service, ::tryPlace)

    fun placeAll() = queues.services.forEach(::place)

    fun tick() {
        for (request in inFlight.values.toList()) {
            when {
                out.now >= request.deadlineAt -> timedOut(request)
                request.phase == LiveRequest.Phase.QUEUED -> if (queues.isOverdue(request)) endUnplaced(request)
                request.phase == LiveRequest.Phase.PREFILL -> abandonUnresponsivePrefill(request)
                else -> abandonUnresponsiveServer(request)
            }
        }
        placeAll()
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

    private fun tryPlace(request: LiveRequest): Boolean {
        val service = request.service
        val engine = service.engine
        if (engine == null) {
            request.server = placement.plain(service.id, request.triedServers) ?: return false
        } else {
            request.server =
                placement.decode(service.id, engine, request.memoryTokens, request.triedServers) ?: return false
        }
        request.reservedTokens = if (engine == null) 0 else request.memoryTokens
        loads.add(checkNotNull(request.server).id, request.reservedTokens)
        val source = request.source?.takeIf { out.now < request.sourceExpiresAt }
        if (source != null || engine == null || !startPrefill(request)) forward(request, source)
        return true
    }

    /**
     * Starts the prefill at an engine that has not failed for this request; returns false if there is none or its
     * backlog is too long.
     */
    private fun startPrefill(request: LiveRequest): Boolean {
        val server = prefillServer(request) ?: return false
        if (placement.prefillTime(server, request.promptTokens) > MAX_PREFILL_BACKLOG) return false
        request.phase = LiveRequest.Phase.PREFILL
        request.attempt++
        request.prefills++
        request.prefillServer = server
        request.tokensAhead = loads.tokens(server.id)
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
        return true
    }

    private fun prefillServer(request: LiveRequest) =
        placement.prefill(request.service.id, request.promptTokens, checkNotNull(request.server), request.triedServers)

    /**
     * Retries the prefill at another engine within the retry budget; otherwise the decode engine processes the prompt.
     */
    private fun retryPrefill(request: LiveRequest) {
        val mayRepeat = request.prefills < MAX_PREFILLS && retries.tryReserveRetry(request.service.id)
        if (!mayRepeat || !startPrefill(request)) forward(request, source = null)
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
        out.emit(RoutingEffect.Forward(request.id, request.attempt, server, terms(request), source))
    }

    private fun sourceLifetime(request: LiveRequest) =
        checkNotNull(request.service.engine).handleLifetime - RoutingTimes.HANDLE_MARGIN

    private fun terms(request: LiveRequest) =
        CallTerms(request.deadlineAt - out.now, request.organisation?.id, request.urgency)

    private fun attemptFailed(request: LiveRequest, health: ServerHealth, result: AttemptResult.Failed) {
        if (result.unreachable) health.unreachable(out.now) else health.failed(out.now)
        if (result.executed == Executed.NO) {
            retryNotExecuted(request, budget = !result.unreachable)
            return
        }
        request.runs++
        request.source = null
        if (!tryRepeat(request)) {
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
    private fun endUnplaced(request: LiveRequest) {
        if (request.runs == 0 && request.startedAt == null) {
            refuse(request, ResultCode.DEADLINE_UNREACHABLE)
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

    private fun refuse(request: LiveRequest, code: ResultCode) {
        release(request)
        dropSource(request)
        completion.refuse(request, code)
        inFlight.remove(request.id)
    }

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
        const val TOKENS_PER_UNIT = 1_000

        /** A failed prefill is retried once at another engine; after that the decode engine processes the prompt. */
        const val MAX_PREFILLS = 2

        /** With a longer backlog at the prefill engines, the decode engine processes the prompt, at half the speed. */
        val MAX_PREFILL_BACKLOG = 450.milliseconds

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
