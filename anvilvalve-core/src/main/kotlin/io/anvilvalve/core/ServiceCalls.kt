package io.anvilvalve.core

import arrow.core.Either
import io.anvilvalve.api.RetryBudget
import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.id.KeyHash
import io.anvilvalve.api.id.ModelId
import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.log.KeptReply
import io.anvilvalve.api.peer.WorkClass
import io.anvilvalve.api.port.BackendFault
import io.anvilvalve.api.release.BackendServer
import io.anvilvalve.api.result.Executed
import io.anvilvalve.api.result.LogEvent
import io.anvilvalve.api.result.ResultCode
import io.anvilvalve.core.RunningCall.Stage
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Lifecycle of calls to plain services. A non-repeatable call is sent only after its claim on the idempotency
 * key has won.
 */
internal class ServiceCalls(private val out: Outbox, private val host: HostOperations) {
    /** Operations of the host that service calls depend on. */
    interface HostOperations {
        fun server(id: BackendServerId): BackendServer?

        fun admit(call: RunningCall, deadline: Duration)

        fun settle(id: RequestId, used: Long)

        fun claim(call: RunningCall)

        fun completeClaim(id: RequestId, reply: KeptReply)

        fun abandonClaim(id: RequestId, sent: Boolean)
    }

    private val calls = LinkedHashMap<RequestId, RunningCall>()
    private val inFlightCalls = HashMap<BackendServerId, Int>()
    private val retries = RetryBudget()

    val size: Int get() = calls.size

    fun accept(call: RunningCall) {
        calls[call.request.id] = call
        retries.recordFirstAttempt()
        if (call.organisation == null) proceed(call) else host.admit(call, deadline = out.now + ADMISSION_TIMEOUT)
    }

    fun admitted(id: RequestId): Boolean {
        val call = calls[id] ?: return false
        call.charged = true
        proceed(call)
        return true
    }

    fun refused(id: RequestId, code: ResultCode, retryAfterMillis: Long = 0): Boolean {
        val call = calls[id] ?: return false
        refund(call)
        settleAndRemove(call, code)
        out.emit(HostEffect.Refuse(id, code, retryAfterMillis))
        return true
    }

    fun claimWon(id: RequestId) {
        val call = calls[id]
        if (call == null) host.abandonClaim(id, sent = false) else send(call)
    }

    fun claimReplayed(id: RequestId, reply: KeptReply) {
        val call = calls[id] ?: return
        refund(call)
        settleAndRemove(call, code = null)
        out.emit(HostEffect.ReplyService(id, reply, replayed = true))
    }

    fun replied(id: RequestId, result: Either<BackendFault, KeptReply>) {
        val call = calls[id]?.takeIf { it.stage == Stage.SENT } ?: return
        call.triedServers.lastOrNull()?.let { inFlightCalls.merge(it, -1, Int::plus) }
        result.fold(ifLeft = { failed(call, it) }, ifRight = { succeeded(call, it) })
    }

    /** A non-repeatable call that has been sent continues, so that its reply is kept for a repeat of the call. */
    fun callerGone(id: RequestId): Boolean {
        val call = calls[id] ?: return false
        call.callerGone = true
        if (call.stage == Stage.SENT && !call.route.repeatable) return true
        if (call.stage == Stage.CLAIM) host.abandonClaim(id, sent = false)
        if (call.stage != Stage.SENT) refund(call)
        settleAndRemove(call, ResultCode.CALLER_GONE)
        out.emit(HostEffect.FailAnswer(id, ResultCode.CALLER_GONE))
        return true
    }

    /** Refuses calls that have not been sent; a call that has been sent cannot be recalled. */
    fun keyWithdrawn(hash: KeyHash) {
        for (call in calls.values.filter { it.request.key == hash && it.stage != Stage.SENT }) {
            if (call.stage == Stage.CLAIM) host.abandonClaim(call.request.id, sent = false)
            refused(call.request.id, ResultCode.KEY_INVALID)
        }
    }

    fun failAll(code: ResultCode) {
        for (call in calls.values.toList()) {
            if (!call.route.repeatable && call.stage != Stage.ADMISSION) {
                host.abandonClaim(call.request.id, sent = call.stage == Stage.SENT)
            }
            if (call.stage == Stage.SENT) fail(call, code) else refused(call.request.id, ResultCode.DRAINING)
        }
    }

    private fun proceed(call: RunningCall) {
        if (call.route.repeatable) {
            send(call)
        } else {
            call.stage = Stage.CLAIM
            host.claim(call)
        }
    }

    private fun send(call: RunningCall) {
        val server = choose(call)
        if (server == null) {
            if (!call.route.repeatable) host.abandonClaim(call.request.id, sent = false)
            refused(call.request.id, ResultCode.NO_BACKEND_SERVER, retryAfterMillis = 1_000)
            return
        }
        call.stage = Stage.SENT
        call.triedServers += server.id
        inFlightCalls.merge(server.id, 1, Int::plus)
        out.emit(HostEffect.CallService(call.request.id, server))
    }

    private fun choose(call: RunningCall): BackendServer? = call.route.backendServers
        .filter { it !in call.triedServers }
        .mapNotNull { host.server(it) }
        .filter { !it.leaving }
        .minByOrNull { inFlightCalls[it.id] ?: 0 }

    private fun succeeded(call: RunningCall, reply: KeptReply) {
        if (!call.route.repeatable) host.completeClaim(call.request.id, reply)
        settleAndRemove(call, code = null)
        if (!call.callerGone) out.emit(HostEffect.ReplyService(call.request.id, reply, replayed = false))
    }

    private fun failed(call: RunningCall, fault: BackendFault) {
        val mayRetry = call.route.repeatable || fault.executed == Executed.NO
        val hasAnotherServer = call.triedServers.size < MAX_SERVERS && choose(call) != null
        if (mayRetry && hasAnotherServer && !call.callerGone && retries.tryReserveRetry()) {
            send(call)
            return
        }
        out.log(LogEvent.REQUEST_FAILED, "request" to call.request.id, "reason" to fault.reason)
        if (!call.route.repeatable) host.abandonClaim(call.request.id, sent = fault.executed != Executed.NO)
        if (fault.executed == Executed.NO) {
            refused(call.request.id, ResultCode.BACKEND_REFUSED, retryAfterMillis = 1_000)
        } else {
            fail(call, ResultCode.BACKEND_FAILED)
        }
    }

    private fun fail(call: RunningCall, code: ResultCode) {
        settleAndRemove(call, code)
        out.emit(HostEffect.FailAnswer(call.request.id, code))
    }

    private fun refund(call: RunningCall) {
        if (call.charged) host.settle(call.request.id, used = 0)
        call.charged = false
    }

    private fun settleAndRemove(call: RunningCall, code: ResultCode?) {
        calls.remove(call.request.id)
        if (call.charged) host.settle(call.request.id, used = call.route.costTokens)
        out.emit(
            HostEffect.Measure(
                RequestSummary(
                    organisation = call.organisation,
                    model = ModelId(call.route.id.value),
                    workClass = WorkClass.INTERACTIVE,
                    code = code,
                    firstToken = out.now - call.arrivedAt,
                    refusedWithinRate = code == ResultCode.TOKENS_UNAVAILABLE || code == ResultCode.NOT_CURRENT,
                ),
            ),
        )
    }

    companion object {
        val ADMISSION_TIMEOUT = 500.milliseconds
        const val MAX_SERVERS = 3
    }
}
