package io.anvilvalve.host

import arrow.core.Either
import io.anvilvalve.api.log.KeptReply
import io.anvilvalve.api.port.BackendFault
import io.anvilvalve.api.port.BackendServerClient
import io.anvilvalve.api.port.ServiceCall
import io.anvilvalve.api.port.ServiceReply
import io.anvilvalve.api.result.ResultCode
import io.anvilvalve.core.HostEffect
import io.anvilvalve.core.HostEvent
import io.anvilvalve.core.ServiceRequest
import jakarta.servlet.http.HttpServletResponse
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import java.io.IOException

/** Runs one call to a plain service on the request thread. */
internal class ServiceExchange(
    private val caller: CallerRequest,
    private val request: ServiceRequest,
    private val call: ServiceCall,
    private val response: HttpServletResponse,
    private val limits: AnswerLimits,
    private val backends: BackendServerClient,
    private val post: (HostEvent) -> Unit,
) {
    private var reply: ServiceReply? = null

    /**
     * Blocks until the reply has been written or the call has ended without one.
     *
     * A call that has been sent may continue after its caller has disconnected.
     */
    fun run() {
        try {
            runBlocking { processSteps() }
        } catch (_: IOException) {
            post(HostEvent.CallerGone(request.id))
        }
    }

    private suspend fun processSteps() = coroutineScope {
        post(HostEvent.ServiceArrived(request))
        for (step in caller.steps) {
            if (step == null || perform(step)) break
        }
    }

    private fun CoroutineScope.perform(step: HostEffect): Boolean {
        when (step) {
            is HostEffect.CallService ->
                caller.startAttempt(FIRST_ATTEMPT, launch(start = CoroutineStart.LAZY) { call(step) })

            is HostEffect.ReplyService -> return endCall { writeReply(step) }

            is HostEffect.FailAnswer -> return fail(step.code)

            is HostEffect.Refuse -> return fail(step.code, step.retryAfterMillis)

            else -> Unit
        }
        return false
    }

    private suspend fun call(step: HostEffect.CallService) {
        caller.recordAttemptStart()
        val result: Either<BackendFault, ServiceReply> = backends.call(step.server, call)
        caller.recordAttemptResult(result.leftOrNull())
        reply = result.getOrNull()
        post(HostEvent.ServiceReplied(request.id, result.map(::toKeptReply)))
        // The reducer emits no reply effect for a caller that has disconnected.
        if (caller.gone) caller.finish(null)
    }

    /** Writes the reply. This caller gets a complete reply even if it is too large to be stored. */
    private fun writeReply(step: HostEffect.ReplyService) {
        val currentReply = reply
        if (step.replayed) response.setHeader("Idempotency-Replayed", "true")
        if (currentReply != null && !step.replayed) {
            send(currentReply.status, currentReply.contentType, currentReply.body)
        } else {
            send(step.reply.status, step.reply.contentType, step.reply.body)
        }
    }

    private fun send(status: Int, contentType: String, body: ByteArray) {
        response.status = status
        response.sendBody(contentType, body)
    }

    private fun fail(code: ResultCode, retryAfterMillis: Long = 0): Boolean = endCall {
        response.sendError(code, retryAfterMillis = retryAfterMillis, executed = caller.executed(code))
    }

    private fun endCall(write: () -> Unit): Boolean {
        if (!caller.gone) limits.write(write)
        return true
    }

    companion object {
        /** Maximum size of a reply body that is stored in the log. */
        const val MAX_KEPT_BYTES = 16 * 1024

        private const val FIRST_ATTEMPT = 1

        private fun toKeptReply(reply: ServiceReply): KeptReply = if (reply.body.size > MAX_KEPT_BYTES) {
            KeptReply(reply.status, reply.contentType, ByteArray(0), truncated = true)
        } else {
            KeptReply(reply.status, reply.contentType, reply.body)
        }
    }
}
