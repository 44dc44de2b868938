package io.anvilvalve.core

import arrow.core.Either
import io.anvilvalve.api.RetryBudget
import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.id.HostId
import io.anvilvalve.api.id.KeyHash
import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.log.Member
import io.anvilvalve.api.peer.PeerMessage
import io.anvilvalve.api.peer.Phase
import io.anvilvalve.api.peer.PlacementOutcome
import io.anvilvalve.api.peer.WorkItem
import io.anvilvalve.api.port.BackendFault
import io.anvilvalve.api.port.KvHandle
import io.anvilvalve.api.release.BackendServer
import io.anvilvalve.api.result.Executed
import io.anvilvalve.api.result.LogEvent
import io.anvilvalve.api.result.ResultCode
import io.anvilvalve.core.RunningRequest.Stage
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Lifecycle of model requests at the host that accepted them: admission, placement, prefill, decode, completion. */
internal class ModelRequests(
    private val self: Member,
    private val out: Outbox,
    private val pools: PoolOwners,
    private val cancels: Cancels,
    private val inFlight: InFlightTable,
    private val host: HostOperations,
) {
    /** Operations of the host that model requests depend on. */
    interface HostOperations {
        fun server(id: BackendServerId): BackendServer?

        fun admit(running: RunningRequest, deadline: Duration)

        fun settle(id: RequestId, used: Long)

        /** Whether recent log reads or probe replies show that the host is up to date; if not, nothing is started. */
        fun isCurrent(): Boolean

        fun sendToOwner(owner: HostId, message: PeerMessage)
    }

    private val requests = LinkedHashMap<RequestId, RunningRequest>()
    private val retries = RetryBudget()

    val size: Int get() = requests.size

    fun accept(running: RunningRequest) {
        requests[running.request.id] = running
        retries.recordFirstAttempt()
        host.admit(running, deadline = out.now + ADMISSION_TIMEOUT)
    }

    fun admitted(id: RequestId) {
        val running = requests[id]
        if (running == null) host.settle(id, used = 0) else submit(running)
    }

    fun refused(id: RequestId, code: ResultCode, retryAfterMillis: Long): Boolean {
        val running = requests.remove(id) ?: return false
        out.emit(HostEffect.Refuse(id, code, retryAfterMillis))
        measure(running, code)
        return true
    }

    fun placement(id: RequestId, attempt: Int, outcome: PlacementOutcome, from: HostId) {
        val running = requests[id]
        if (running == null || running.attempt != attempt || running.stage != Stage.PLACEMENT) {
            val isDuplicate = running?.attempt == attempt && running.owner == from
            if (!isDuplicate) releaseAtOwner(id, attempt, outcome, from)
            return
        }
        when (outcome) {
            is PlacementOutcome.Placed -> start(running, outcome, from)

            is PlacementOutcome.Refused ->
                if (!spill(running, outcome.code)) end(running, outcome.code, outcome.retryAfterMillis)
        }
    }

    fun prefillEnded(id: RequestId, attempt: Int, result: Either<BackendFault, KvHandle>) {
        val running = requests[id]?.takeIf { it.attempt == attempt && it.stage == Stage.PREFILL } ?: return
        result.fold(
            ifLeft = { prefillFailed(running, it) },
            ifRight = { kv ->
                running.kv = kv
                running.kvPlacement = running.placed
                running.kvExpiresAt = out.now + kv.expiresMillis.milliseconds
                running.prefillTokens += running.request.promptTokens + running.delivered
                sendProgress(running, Phase.PREFILL_FINISHED)
                startDecode(running, kv)
            },
        )
    }

    fun tokensDelivered(id: RequestId, attempt: Int, delivered: Int) {
        val running = requests[id]?.takeIf { it.attempt == attempt } ?: return
        if (delivered > running.delivered) running.delivered = delivered
        if (running.firstTokenAt == null) running.firstTokenAt = out.now
        if (running.stage == Stage.DECODE && running.kv != null) {
            sendProgress(running, Phase.FIRST_TOKEN)
            running.kv = null
        }
    }

    fun decodeEnded(id: RequestId, attempt: Int, delivered: Int, fault: BackendFault?) {
        val running = requests[id]?.takeIf { it.attempt == attempt && it.stage == Stage.DECODE } ?: return
        running.delivered = maxOf(running.delivered, delivered)
        if (running.firstTokenAt == null && delivered > 0) running.firstTokenAt = out.now
        if (fault == null) finish(running) else decodeFailed(running, fault)
    }

    fun callerGone(id: RequestId): Boolean {
        val running = requests[id] ?: return false
        end(running, ResultCode.CALLER_GONE)
        return true
    }

    fun keyWithdrawn(hash: KeyHash) =
        requests.values.filter { it.request.key == hash }.forEach { end(it, ResultCode.KEY_WITHDRAWN) }

    fun failAll(code: ResultCode) = requests.values.toList().forEach { end(it, code) }

    /** Resubmits requests that wait for placement by a former owner, and announces running ones to the new owner. */
    fun ownersChanged() {
        // Iterates over a copy: this host may be the new owner and end a request during the loop.
        for (running in requests.values.toList()) {
            if (running.stage == Stage.ADMISSION) continue
            val owner = pools.owner(running.request.model, running.group) ?: continue
            if (owner == running.owner) continue
            val placed = running.placed
            running.owner = owner
            if (running.stage == Stage.PLACEMENT) {
                host.sendToOwner(owner, PeerMessage.Submit(workItem(running), running.attempt))
            } else if (placed != null) {
                host.sendToOwner(owner, PeerMessage.WorkRunning(workItem(running), running.attempt, placed))
            }
        }
    }

    fun tick() {
        for (running in requests.values.toList()) {
            if (running.stage != Stage.PLACEMENT) continue
            if (out.now - running.stageSince > PLACEMENT_TIMEOUT) {
                end(running, ResultCode.DEADLINE_UNREACHABLE, retryAfterMillis = 1_000)
            } else if (out.now - running.submittedAt > RESUBMIT_AFTER) {
                resubmit(running)
            }
        }
    }

    private fun submit(running: RunningRequest) {
        running.attempt += 1
        running.placed = null
        running.group = pools.groups.firstOrNull { it !in running.triedGroups } ?: pools.groups.first()
        running.owner = pools.owner(running.request.model, running.group) ?: self.host
        running.enter(Stage.PLACEMENT, out.now)
        sendSubmit(running)
    }

    /** Submits a request that its data centre cannot place in time to the next one, if enough time is left. */
    private fun spill(running: RunningRequest, code: ResultCode): Boolean {
        running.triedGroups += running.group
        val hasAnotherGroup = pools.groups.any { it !in running.triedGroups }
        if (code !in SPILLABLE_CODES || !hasAnotherGroup || firstTokenBudget(running) < MIN_SPILL_BUDGET) return false
        submit(running)
        return true
    }

    private fun sendSubmit(running: RunningRequest) {
        running.submittedAt = out.now
        host.sendToOwner(checkNotNull(running.owner), PeerMessage.Submit(workItem(running), running.attempt))
    }

    /** Repeats a submit that may be lost; this host becomes the owner if the owner has sent nothing since then. */
    private fun resubmit(running: RunningRequest) {
        val owner = checkNotNull(running.owner)
        if (owner != self.host && !pools.hasContactSince(owner, running.submittedAt)) {
            host.sendToOwner(owner, progress(running, Phase.CANCELLED))
            running.attempt += 1
            running.owner = self.host
        }
        sendSubmit(running)
    }

    private fun workItem(running: RunningRequest): WorkItem = with(running.request) {
        WorkItem(
            id = id,
            origin = self.host,
            originDataCentre = self.dataCentre,
            organisation = running.organisation,
            model = model,
            workClass = workClass,
            promptTokens = promptTokens + running.delivered,
            maxTokens = maxTokens - running.delivered,
            adapter = adapter,
            prefixHashes = prefixHashes,
            firstTokenBudgetMicros = firstTokenBudget(running).inWholeMicroseconds,
        )
    }

    /** A resumed stream has already sent its first token; its budget limits the interruption for the caller. */
    private fun firstTokenBudget(running: RunningRequest): Duration =
        if (running.delivered > 0) FIRST_TOKEN_TARGET else FIRST_TOKEN_TARGET - (out.now - running.arrivedAt)

    private fun start(running: RunningRequest, placed: PlacementOutcome.Placed, owner: HostId) {
        val prefill = host.server(placed.prefill)
        val decode = host.server(placed.decode)
        running.owner = owner
        running.placed = placed
        if (!host.isCurrent()) {
            end(running, ResultCode.NOT_CURRENT, retryAfterMillis = 1_000)
            return
        }
        if (prefill == null || decode == null) {
            sendProgress(running, Phase.CANCELLED)
            submit(running)
            return
        }
        inFlight.add(running.engineId(), listOf(prefill, decode))
        val kv = running.kv
        if (kv != null && running.kvPlacement?.prefill == placed.prefill && out.now + KV_MARGIN < running.kvExpiresAt) {
            sendProgress(running, Phase.PREFILL_FINISHED)
            startDecode(running, kv)
            return
        }
        releaseKv(running)
        running.enter(Stage.PREFILL, out.now)
        running.prefillSent = true
        sendProgress(running, Phase.PREFILL_STARTED)
        out.emit(
            HostEffect.StartPrefill(running.request.id, running.attempt, prefill, placed.priority, running.delivered),
        )
    }

    private fun startDecode(running: RunningRequest, kv: KvHandle) {
        val placed = checkNotNull(running.placed)
        val server = host.server(placed.decode)
        running.enter(Stage.DECODE, out.now)
        if (server == null) {
            decodeFailed(running, BackendFault(Executed.NO, "decode server not in the applied release"))
            return
        }
        out.emit(
            HostEffect.StartDecode(
                running.request.id,
                running.attempt,
                server,
                kv,
                placed.priority,
                running.delivered,
            ),
        )
    }

    private fun prefillFailed(running: RunningRequest, fault: BackendFault) {
        sendProgress(running, Phase.PREFILL_FAILED)
        retryOrFail(running, fault, serversOf(running))
    }

    private fun decodeFailed(running: RunningRequest, fault: BackendFault) {
        sendProgress(running, Phase.DECODE_FAILED)
        val canReuseKv = running.delivered == 0 && running.kv != null && out.now + KV_MARGIN < running.kvExpiresAt
        if (!canReuseKv) releaseKv(running)
        val decode = running.placed?.let { host.server(it.decode) }
        retryOrFail(running, fault, if (canReuseKv) listOfNotNull(decode) else serversOf(running))
    }

    private fun retryOrFail(running: RunningRequest, fault: BackendFault, cancelAt: List<BackendServer>) {
        out.emit(HostEffect.StopAttempt(running.request.id, running.attempt))
        cancelAt.forEach { cancels.start(it, running.engineId()) }
        if (running.attempt < MAX_ATTEMPTS && retries.tryReserveRetry()) {
            if (running.delivered > 0) {
                out.log(LogEvent.STREAM_RESUMED, "request" to running.request.id, "from" to running.delivered)
            }
            submit(running)
        } else {
            val code = if (running.delivered > 0) ResultCode.STREAM_BROKEN else ResultCode.BACKEND_FAILED
            out.log(LogEvent.REQUEST_FAILED, "request" to running.request.id, "reason" to fault.reason)
            settleAndRemove(running, code)
            out.emit(HostEffect.FailAnswer(running.request.id, code))
        }
    }

    private fun finish(running: RunningRequest) {
        sendProgress(running, Phase.DECODE_FINISHED)
        inFlight.remove(running.engineId())
        settleAndRemove(running, code = null)
        out.emit(HostEffect.FinishAnswer(running.request.id))
    }

    /** Ends an unfinished request: releases its placement, attempt and KV cache, and answers the caller. */
    private fun end(running: RunningRequest, code: ResultCode, retryAfterMillis: Long = 0) {
        val started = running.stage == Stage.PREFILL || running.stage == Stage.DECODE
        if (running.stage != Stage.ADMISSION) sendProgress(running, Phase.CANCELLED)
        if (started) {
            out.emit(HostEffect.StopAttempt(running.request.id, running.attempt))
            serversOf(running).forEach { cancels.start(it, running.engineId()) }
        }
        releaseKv(running)
        val result = reportableCode(running, code)
        settleAndRemove(running, result)
        if (running.prefillSent) {
            out.emit(HostEffect.FailAnswer(running.request.id, result))
        } else {
            out.emit(HostEffect.Refuse(running.request.id, result, retryAfterMillis))
        }
    }

    /**
     * Converts [code] to one that states correctly whether the request may have run.
     *
     * Once a prefill was sent, the refusal of a later attempt must not say "not run". A key withdrawn before the first
     * prefill must be reported as "not run".
     */
    private fun reportableCode(running: RunningRequest, code: ResultCode): ResultCode = when {
        !running.prefillSent -> if (code == ResultCode.KEY_WITHDRAWN) ResultCode.KEY_INVALID else code
        code.executed == Executed.UNKNOWN -> code
        running.delivered > 0 -> ResultCode.STREAM_BROKEN
        else -> ResultCode.BACKEND_TIMEOUT
    }

    private fun settleAndRemove(running: RunningRequest, code: ResultCode?) {
        requests.remove(running.request.id)
        val used = if (running.prefillSent) running.request.promptTokens + running.delivered else 0
        if (running.stage != Stage.ADMISSION) host.settle(running.request.id, used.toLong())
        if (code != null && running.delivered == 0) running.wastedPrefillTokens = running.prefillTokens
        measure(running, code)
    }

    private fun releaseKv(running: RunningRequest) {
        val kv = running.kv ?: return
        val source = running.kvPlacement?.let { host.server(it.prefill) }
        if (source != null) cancels.start(source, kv.requestId)
        running.wastedPrefillTokens += running.request.promptTokens
        running.kv = null
    }

    private fun serversOf(running: RunningRequest): List<BackendServer> =
        running.placed?.let { listOfNotNull(host.server(it.prefill), host.server(it.decode)).distinct() }.orEmpty()

    private fun releaseAtOwner(id: RequestId, attempt: Int, outcome: PlacementOutcome, from: HostId) {
        if (outcome is PlacementOutcome.Placed) {
            host.sendToOwner(from, PeerMessage.WorkProgress(id, attempt, Phase.CANCELLED))
        }
    }

    private fun sendProgress(running: RunningRequest, phase: Phase) {
        running.owner?.let { host.sendToOwner(it, progress(running, phase)) }
    }

    private fun progress(running: RunningRequest, phase: Phase): PeerMessage.WorkProgress = PeerMessage.WorkProgress(
        id = running.request.id,
        attempt = running.attempt,
        phase = phase,
        tokens = running.delivered,
        micros = (out.now - running.stageSince).inWholeMicroseconds,
    )

    private fun measure(running: RunningRequest, code: ResultCode?) =
        out.emit(HostEffect.Measure(running.summary(code, out.now)))

    companion object {
        val FIRST_TOKEN_TARGET = 1_500.milliseconds
        val ADMISSION_TIMEOUT = 500.milliseconds
        val RESUBMIT_AFTER = 400.milliseconds
        val PLACEMENT_TIMEOUT = 30.seconds
        val MIN_SPILL_BUDGET = 300.milliseconds

        /** A KV transfer that starts this close to the expiry of the prefill result would lose the KV cache. */
        val KV_MARGIN = 100.milliseconds
        const val MAX_ATTEMPTS = 4

        private val SPILLABLE_CODES = setOf(ResultCode.DEADLINE_UNREACHABLE, ResultCode.NO_BACKEND_SERVER)
    }
}
