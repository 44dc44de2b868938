package io.anvilvalve.host

import io.anvilvalve.api.port.BackendFault
import io.anvilvalve.api.port.BackendServerClient
import io.anvilvalve.api.port.EngineRequest
import io.anvilvalve.api.port.TokenChunk
import io.anvilvalve.api.result.Executed
import io.anvilvalve.api.result.ResultCode
import io.anvilvalve.core.HostEffect
import io.anvilvalve.core.HostEvent
import io.anvilvalve.core.ModelRequest
import io.anvilvalve.core.StreamCursor
import io.anvilvalve.core.StreamCursor.Verdict
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.CoroutineStart
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.flow.takeWhile
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import java.io.IOException

/** Signals that writing the answer to the caller failed. */
internal class CallerGoneException(cause: IOException) : Exception(cause)

/**
 * Runs the attempts of one model request on the request thread.
 *
 * The same thread reads from the engine and writes to the caller. This gives backpressure: if the caller does not read,
 * reading from the engine stops once the socket buffers are full.
 */
internal class ModelExchange(
    private val caller: CallerRequest,
    private val request: ModelRequest,
    private val prompt: String,
    private val answer: Answer,
    private val limits: AnswerLimits,
    private val backends: BackendServerClient,
    private val post: (HostEvent) -> Unit,
) {
    private val cursor = StreamCursor()

    /** Blocks until the answer has ended or the caller has disconnected. */
    fun run() {
        try {
            runBlocking { processSteps() }
        } catch (_: CallerGoneException) {
            post(HostEvent.CallerGone(request.id))
        }
    }

    private suspend fun processSteps() = coroutineScope {
        post(HostEvent.RequestArrived(request))
        for (step in caller.steps) {
            if (step == null || perform(step)) break
        }
    }

    /** Performs [step] and returns whether it ended the answer. */
    private fun CoroutineScope.perform(step: HostEffect): Boolean {
        when (step) {
            is HostEffect.StartPrefill -> launchAttempt(step.attempt) { prefill(step) }
            is HostEffect.StartDecode -> launchAttempt(step.attempt) { decode(step) }
            is HostEffect.FinishAnswer -> return endAnswer { answer.finish() }
            is HostEffect.FailAnswer -> return fail(step.code)
            is HostEffect.Refuse -> return fail(step.code, step.retryAfterMillis)
            else -> Unit
        }
        return false
    }

    private fun CoroutineScope.launchAttempt(number: Int, work: suspend () -> Unit) =
        caller.startAttempt(number, launch(start = CoroutineStart.LAZY) { work() })

    private suspend fun prefill(step: HostEffect.StartPrefill) {
        caller.recordAttemptStart()
        val result = backends.prefill(step.server, engineRequest(step.attempt, step.priority, step.resumeFrom))
        caller.recordAttemptResult(result.leftOrNull())
        post(HostEvent.PrefillEnded(request.id, step.attempt, result))
    }

    private suspend fun decode(step: HostEffect.StartDecode) {
        caller.recordAttemptStart()
        cursor.begin(step.attempt)
        val relay = ChunkRelay(step.attempt)
        backends.decode(step.server, engineRequest(step.attempt, step.priority, step.resumeFrom), step.kv)
            .takeWhile { item -> item.fold(relay::fail, { relay.accept(it) }) }
            .collect { }
        currentCoroutineContext().ensureActive()
        caller.recordAttemptResult(relay.fault)
        post(HostEvent.DecodeEnded(request.id, step.attempt, cursor.delivered, relay.fault))
    }

    private fun engineRequest(attempt: Int, priority: Int, resumeFrom: Int) = EngineRequest(
        request.id,
        attempt,
        request.model,
        prompt,
        request.promptTokens,
        request.maxTokens,
        priority,
        request.adapter,
        resumeFrom,
    )

    private fun fail(code: ResultCode, retryAfterMillis: Long = 0): Boolean = endAnswer {
        if (!caller.gone) answer.fail(code, caller.executed(code), retryAfterMillis)
    }

    private fun endAnswer(write: () -> Unit): Boolean {
        writeToCaller(write)
        return true
    }

    private fun writeToCaller(write: () -> Unit) {
        try {
            limits.write(write)
        } catch (e: IOException) {
            throw CallerGoneException(e)
        }
    }

    /** Relays the chunks of one attempt; [fault] is null once the last chunk has arrived. */
    private inner class ChunkRelay(private val attempt: Int) {
        var fault: BackendFault? = BackendFault(Executed.UNKNOWN, "the engine's stream ended before the last token")
            private set

        fun fail(reason: BackendFault): Boolean {
            fault = reason
            return false
        }

        /** Relays [chunk] and returns whether the stream continues. */
        suspend fun accept(chunk: TokenChunk): Boolean {
            currentCoroutineContext().ensureActive()
            when (cursor.accept(attempt, chunk.index)) {
                Verdict.NEXT -> deliver(chunk)
                Verdict.DUPLICATE, Verdict.STALE -> Unit
                Verdict.GAP -> return fail(gapFault(chunk))
            }
            if (chunk.finishReason != null) fault = null
            return chunk.finishReason == null
        }

        private fun deliver(chunk: TokenChunk) {
            writeToCaller { answer.writeToken(chunk) }
            val delivered = cursor.delivered
            if (delivered == 1 || delivered % TOKENS_PER_REPORT == 0) {
                post(HostEvent.TokensDelivered(request.id, attempt, delivered))
            }
        }

        private fun gapFault(chunk: TokenChunk) =
            BackendFault(Executed.UNKNOWN, "received token ${chunk.index}, expected token ${cursor.delivered}")
    }

    companion object {
        /** Number of tokens between two progress reports to the reducer. */
        const val TOKENS_PER_REPORT = 64
    }
}
