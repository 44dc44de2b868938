package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.log.Member
import io.anvilvalve.api.peer.PeerFrame
import io.anvilvalve.api.result.LogEvent
import io.anvilvalve.api.result.ResultCode
import io.anvilvalve.api.routing.Backend
import io.anvilvalve.api.routing.IngressLimits
import io.anvilvalve.api.routing.Stage
import io.anvilvalve.api.routing.StateTopic
import kotlin.time.Duration

/** What the daemon has to do for the routing rules. */
sealed interface RoutingEffect {
    /** An effect on one open request. */
    sealed interface OnRequest : RoutingEffect {
        val id: RequestId
    }

    /** Answers that the request has not run and never will. */
    data class Refuse(override val id: RequestId, val code: ResultCode, val retryAfter: Duration?) : OnRequest

    /** Has the prompt read at [server]. */
    data class Prefill(override val id: RequestId, val attempt: Int, val server: Backend, val terms: CallTerms) :
        OnRequest

    /** Sends the request to [server] and relays a successful answer. */
    data class Forward(
        override val id: RequestId,
        val attempt: Int,
        val server: Backend,
        val terms: CallTerms,
        val source: PrefillSource? = null,
    ) : OnRequest

    /** Relays the failure of the backend server that the daemon has kept. */
    data class RelayFailure(override val id: RequestId) : OnRequest

    /** Ends the request, which may have run, with an error; a started answer is broken off. */
    data class Fail(override val id: RequestId, val code: ResultCode) : OnRequest

    /** Stops the call [attempt] by closing its connection. */
    data class Abandon(override val id: RequestId, val attempt: Int) : OnRequest

    /** Frees the result of a prefill that is not fetched. */
    data class FreeHandle(val source: PrefillSource) : RoutingEffect

    /** Sends a frame to a peer. */
    data class SendFrame(val to: Member, val frame: PeerFrame) : RoutingEffect

    /** Closes the connection to a peer that does not hear this host, so that the next frame opens a new one. */
    data class ResetPeer(val to: Member) : RoutingEffect

    /** The bounds on callers changed. */
    data class LimitsChanged(val limits: IngressLimits) : RoutingEffect

    /** Readiness for the balancer changed. */
    data class ReadyChanged(val ready: Boolean) : RoutingEffect

    /** Answers from now on close their connections; idle connections are closed when [closeIdle] is set. */
    data class Draining(val closeIdle: Boolean) : RoutingEffect

    /** Takes a fencing number from the store. */
    data object AcquireFencingToken : RoutingEffect

    /** Replaces the value of [key] in the store; a newer value may replace this one before it is written. */
    class PutState(val topic: StateTopic, val key: String, val value: ByteArray) : RoutingEffect

    /** Has [server] change to [stage], unless a higher fencing number than [fence] was taken. */
    data class SendOrder(val server: Backend, val stage: Stage, val fence: Long) : RoutingEffect

    /** Writes a log line. */
    data class Log(val event: LogEvent, val fields: Map<String, String>) : RoutingEffect

    /** Counts a finished request. */
    data class Measure(val summary: RequestOutcome) : RoutingEffect

    /** The process may exit. */
    data object Exit : RoutingEffect
}

/**
 * What a call to a backend server is sent with.
 *
 * @property deadline time that the backend server has.
 * @property urgency 0 is the most urgent, 9 the least.
 */
data class CallTerms(val deadline: Duration, val organisation: OrganisationId?, val urgency: Int)

/** Where the result of a prefill lies. */
data class PrefillSource(val server: Backend, val handle: String)
