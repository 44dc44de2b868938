package io.anvilvalve.host.routing

import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.result.Executed
import io.anvilvalve.api.result.ResultCode
import io.anvilvalve.api.result.bounded
import io.anvilvalve.api.routing.Backend
import io.anvilvalve.host.CallerWatch
import io.anvilvalve.net.ServerAnswer
import io.anvilvalve.net.ServerCall
import io.anvilvalve.net.reason
import io.anvilvalve.rules.routing.AttemptResult
import io.anvilvalve.rules.routing.ErrorStatuses
import io.anvilvalve.rules.routing.InboundRequest
import io.anvilvalve.rules.routing.PrefillResult
import io.anvilvalve.rules.routing.RoutingEffect
import io.anvilvalve.rules.routing.RoutingEvent
import okhttp3.MediaType.Companion.toMediaTypeOrNull
import java.io.IOException
import java.net.BindException
import java.util.concurrent.LinkedBlockingQueue
import kotlin.time.Duration.Companion.milliseconds

/** Runs one caller's request on the request's thread: performs the rules' effects and posts the results as events. */
internal class RoutedExchange(
    private val id: RequestId,
    private val received: ReceivedRequest,
    private val answer: RoutedAnswer,
    private val watch: CallerWatch.ConnectionWatch,
    private val upstream: UpstreamClient,
    private val dialect: RoutingDialect,
    private val post: (RoutingEvent) -> Unit,
    private val onError: (Exception) -> Unit = {},
) {
    private class RunningCall(val attempt: Int, val call: ServerCall)

    private val pendingEffects = LinkedBlockingQueue<RoutingEffect.OnRequest>()

    @Volatile
    private var runningCall: RunningCall? = null

    @Volatile
    private var abandonedAttempt = 0

    private var failure: BufferedAnswer? = null

    /** Id of the last relayed event; null if there is none or it has no id. */
    private var resumeAfter: String? = null

    /** Events that all attempts have relayed. */
    private var relayedEvents = 0
    private var reportedEvents = 0

    /** Queues [effect] for the request's thread, or cancels an abandoned attempt; called by the event loop's thread. */
    fun perform(effect: RoutingEffect.OnRequest) {
        if (effect !is RoutingEffect.Abandon) {
            pendingEffects.add(effect)
            return
        }
        abandonedAttempt = maxOf(abandonedAttempt, effect.attempt)
        runningCall?.takeIf { it.attempt <= effect.attempt }?.call?.close()
    }

    /** Handles the request [arrived]; returns when the answer has ended. */
    fun run(arrived: InboundRequest) {
        var ended = false
        try {
            post(RoutingEvent.Arrived(arrived))
            while (runEffect(pendingEffects.take())) Unit
            ended = true
        } finally {
            // After an exception, the HTTP server would end a partial answer as if it were complete.
            if (!ended && answer.started) watch.abort()
        }
    }

    /** Returns whether the exchange goes on after [effect]. */
    private fun runEffect(effect: RoutingEffect.OnRequest): Boolean {
        if (received.isBodyUnread && (effect is RoutingEffect.Prefill || effect is RoutingEffect.Forward)) {
            refuseUnread()
            return false
        }
        when (effect) {
            is RoutingEffect.Prefill -> prefill(effect)
            is RoutingEffect.Forward -> return !forward(effect)
            is RoutingEffect.Refuse -> finish { answer.refuse(effect.code, effect.retryAfter) }
            is RoutingEffect.RelayFailure -> finish { answer.sendWhole(checkNotNull(failure)) }
            is RoutingEffect.Fail -> finish { fail(effect.code) }
            is RoutingEffect.Abandon -> return true
        }
        return effect is RoutingEffect.Prefill
    }

    /** Refuses a request that became admissible after its header had been checked; it has not been sent. */
    private fun refuseUnread() {
        finish { answer.refuse(ResultCode.NOT_READY, UNREAD_RETRY_AFTER) }
        post(RoutingEvent.CallerGone(id, closedHere = true))
    }

    private inline fun finish(write: () -> Unit) {
        watch.close()
        try {
            write()
        } catch (_: IOException) {
            // The caller has disconnected, and the rules have already ended the request.
            watch.abort()
        }
    }

    private fun fail(code: ResultCode) {
        if (answer.started || code == ResultCode.CALLER_GONE) watch.abort() else answer.fail(code)
    }

    private fun prefill(effect: RoutingEffect.Prefill) {
        val outbound = OutboundCall(effect.server.id.value, effect.terms, prefillOnly = true)
        val prepare = { upstream.prepare(received, effect.server, outbound) }
        val result = call(effect.server, effect.attempt, prepare) { response ->
            val body = response.bytesAtMost(MAX_PREFILL_RESULT_BYTES)
            val facts = dialect.answer(response.status, response.head)
            when {
                isOfOtherAttempt(facts) -> PrefillResult.Failed(OTHER_ATTEMPT)
                response.status != OK -> prefillRefused(response.status)
                else -> dialect.prefillHandle(body).fold({ PrefillResult.Failed(it) }, { PrefillResult.Done(it) })
            }.also { if (it is PrefillResult.Done) keepConnection(facts) }
        }
        post(
            RoutingEvent.PrefillEnded(
                id,
                effect.attempt,
                result.orFailed {
                    PrefillResult.Failed(it.reason, it.unreachable, it.isServerFault)
                },
            ),
        )
    }

    private fun prefillRefused(status: Int) =
        PrefillResult.Failed("status $status", isServerFault = !ErrorStatuses.followsFromRequest(status))

    /** Returns whether the answer has ended. */
    private fun forward(effect: RoutingEffect.Forward): Boolean {
        val outbound = OutboundCall(
            effect.server.id.value,
            effect.terms,
            source = effect.source,
            resumeAfter = resumeAfter,
        )
        val prepare = { upstream.prepare(received, effect.server, outbound) }
        var ended = false
        val outcome =
            call<AttemptResult>(effect.server, effect.attempt, prepare) { response ->
                handleResponse(effect, response).also { ended = it == AttemptResult.Complete }
            }
        val result = outcome.orFailed { it.copy(resumable = relayedEvents == 0 || resumeAfter != null) }
        post(RoutingEvent.AttemptEnded(id, effect.attempt, result, relayedEvents))
        return ended
    }

    private fun handleResponse(effect: RoutingEffect.Forward, response: ServerAnswer): AttemptResult {
        val facts = dialect.answer(response.status, response.head)
        return when {
            isOfOtherAttempt(facts) -> AttemptResult.Failed(OTHER_ATTEMPT, Executed.UNKNOWN)

            facts.notExecuted && !ErrorStatuses.followsFromRequest(response.status) ->
                AttemptResult.NotExecuted(response.status)

            response.status !in SUCCESS_STATUSES -> keepFailure(response).also { keepConnection(facts) }

            !facts.signed -> AttemptResult.Failed("the answer is not signed by the backend server", Executed.UNKNOWN)

            isStream(effect, response) -> relayStream(effect, response, facts)

            answer.started -> AttemptResult.Failed("a stream was resumed with another type of answer", Executed.UNKNOWN)

            else -> relayWhole(effect, response, facts)
        }
    }

    /**
     * A server may give an attempt without an id one of its own. On a reused connection, an answer without an id may be a
     * late one to an earlier call.
     */
    private fun isOfOtherAttempt(facts: AnswerFacts) = received.attemptId != null &&
        facts.attemptId != received.attemptId && (facts.attemptId != null || runningCall?.call?.reused == true)

    /** Keeps the connection of an answer that was read to its end and found sound, if the answer names this attempt. */
    private fun keepConnection(facts: AnswerFacts) {
        if (facts.attemptId != null && facts.attemptId == received.attemptId) runningCall?.call?.keepConnection()
    }

    private fun isStream(effect: RoutingEffect.Forward, response: ServerAnswer): Boolean {
        // The ends of events cannot be found in an encoded stream, so it is relayed as a whole.
        if (received.method == HEAD ||
            response.head["Content-Encoding"].orEmpty().lowercase() !in UNENCODED
        ) {
            return false
        }
        val type = response.head["Content-Type"] ?: return effect.expectsStream
        return type.toMediaTypeOrNull()?.subtype == EVENT_STREAM
    }

    private fun keepFailure(response: ServerAnswer): AttemptResult {
        failure = try {
            bufferedAnswer(response)
        } catch (e: NoRoomException) {
            // The status already shows a fault of the server.
            throw if (ErrorStatuses.followsFromRequest(response.status)) e else IOException(e.message, e)
        }
        return AttemptResult.ErrorAnswer(response.status)
    }

    private fun bufferedAnswer(response: ServerAnswer): BufferedAnswer {
        val head = dialect.relayed(response.head)
        if (received.method == HEAD || response.status in BODILESS_STATUSES) {
            // The length in such a head is not that of a body that follows.
            val length = if (received.method == HEAD) response.head["Content-Length"]?.toLongOrNull() else null
            return BufferedAnswer(response.status, head, ByteArray(0), length)
        }
        val statedLong = response.head["Content-Length"]?.toLongOrNull() ?: 0
        if (statedLong > MAX_ANSWER_BYTES) throw NoRoomException("the answer has $statedLong bytes")
        val stated = statedLong.toInt()
        hold(stated)
        val body = response.bytesAtMost(MAX_ANSWER_BYTES)
        if (body.size > stated) hold(body.size - stated)
        return BufferedAnswer(response.status, head, body, body.size.toLong())
    }

    private fun hold(bytes: Int) {
        if (!answer.hold(bytes)) throw NoRoomException("no room to hold the answer")
    }

    private fun relayWhole(effect: RoutingEffect.Forward, response: ServerAnswer, facts: AnswerFacts): AttemptResult {
        val buffered = bufferedAnswer(response)
        keepConnection(facts)
        post(RoutingEvent.AnswerStarted(id, effect.attempt, response.endsWithConnection))
        // Closed before the last byte is written, because the caller may then send its next request on this connection.
        watch.close()
        writeToCaller { answer.sendWhole(buffered) }
        return AttemptResult.Complete
    }

    private fun relayStream(effect: RoutingEffect.Forward, response: ServerAnswer, facts: AnswerFacts): AttemptResult {
        val frames = EventFrames(response.body, response.endsWithConnection)
        val earlierEvents = relayedEvents
        while (true) {
            val bytes = frames.next() ?: break
            if (!answer.started) {
                post(RoutingEvent.AnswerStarted(id, effect.attempt, response.endsWithConnection))
                writeToCaller { answer.sendHead(response.status, dialect.relayed(response.head)) }
            }
            writeToCaller { answer.write(bytes) }
            relayedEvents = earlierEvents + frames.count
            reportProgress(effect.attempt)
            if (frames.count > 0) resumeAfter = frames.lastId
        }
        // A server that crashes after its head closes the connection as if the stream had ended.
        if (frames.count == 0 && response.endsWithConnection) {
            return AttemptResult.Failed("the stream ended before its first event", Executed.UNKNOWN)
        }
        if (!answer.started) {
            post(RoutingEvent.AnswerStarted(id, effect.attempt, response.endsWithConnection))
            writeToCaller { answer.sendHead(response.status, dialect.relayed(response.head)) }
        }
        keepConnection(facts)
        watch.close()
        return AttemptResult.Complete
    }

    private fun reportProgress(attempt: Int) {
        if (relayedEvents - reportedEvents < EVENTS_PER_REPORT) return
        reportedEvents = relayedEvents
        post(RoutingEvent.AnswerProgressed(id, attempt, relayedEvents))
    }

    /** Runs [write] and treats its failure as a disconnect of the caller. */
    @Suppress("TooGenericExceptionCaught")
    private inline fun writeToCaller(write: () -> Unit) = try {
        write()
    } catch (e: Exception) {
        post(RoutingEvent.CallerGone(id))
        throw e
    }

    /**
     * Makes the call that [prepare] returns. Whatever is thrown ends the attempt and not the request, because the rules must
     * learn of it: another server may answer, and a server that fails without their knowledge would seem to be idle.
     */
    @Suppress("TooGenericExceptionCaught")
    private fun <T : Any> call(
        server: Backend,
        attempt: Int,
        prepare: () -> ServerCall,
        handle: (ServerAnswer) -> T,
    ): CallOutcome<T> {
        var call: ServerCall? = null
        return try {
            val prepared = prepare().also { call = it }
            runningCall = RunningCall(attempt, prepared)
            if (abandonedAttempt >= attempt) prepared.close()
            CallOutcome.Received(
                prepared.use {
                    handle(it.execute().also { answer -> dialect.reportSignals(server, answer, post) })
                },
            )
        } catch (e: IOException) {
            CallOutcome.Failed(failed(call, e, e.reason))
        } catch (e: Exception) {
            if (e is InterruptedException) throw e
            onError(e)
            CallOutcome.Failed(failed(call, e, e.toString().bounded()))
        } finally {
            runningCall = null
        }
    }

    /** A call that could not be prepared says nothing of its server. */
    private fun failed(call: ServerCall?, e: Exception, reason: String): AttemptResult.Failed {
        if (call == null) return AttemptResult.Failed(reason, Executed.NO, isServerFault = false)
        val isServerFault = e !is NoRoomException && (call.sent || !isOwnFault(e))
        return AttemptResult.Failed(
            if (call.reused) "$reason (on a reused connection)" else reason,
            call.executed,
            unreachable = !call.sent && isServerFault,
            isServerFault,
        )
    }

    /** Whether this host could not open a connection to any server; callers can use up descriptors and ports. */
    private fun isOwnFault(e: Exception) =
        e is BindException || e.message.orEmpty().contains("too many open files", ignoreCase = true)

    /** This host cannot hold an answer; an answer of another server would not fit either. */
    private class NoRoomException(message: String) : IOException(message)

    private sealed interface CallOutcome<out T : Any> {
        class Received<T : Any>(val value: T) : CallOutcome<T>

        class Failed(val fault: AttemptResult.Failed) : CallOutcome<Nothing>
    }

    private inline fun <T : Any> CallOutcome<T>.orFailed(failed: (AttemptResult.Failed) -> T): T = when (this) {
        is CallOutcome.Received -> value
        is CallOutcome.Failed -> failed(fault)
    }

    private companion object {
        const val OK = 200

        /** By then, the header is checked by the newer configuration. */
        val UNREAD_RETRY_AFTER = 200.milliseconds
        val SUCCESS_STATUSES = 200..299

        /** Events between progress reports: about one report every 0.5 s, which keeps the cost of reporting low. */
        const val EVENTS_PER_REPORT = 8
        const val HEAD = "HEAD"
        const val OTHER_ATTEMPT = "the answer has another request's attempt id"
        const val EVENT_STREAM = "event-stream"
        val UNENCODED = setOf("", "identity")
        val BODILESS_STATUSES = setOf(204, 304)

        /** A handle and two numbers. */
        const val MAX_PREFILL_RESULT_BYTES = 64L * 1024

        /** Answers are held until they are complete; many of this size must fit the heap of a small host. */
        const val MAX_ANSWER_BYTES = 2L * 1024 * 1024
    }
}
