package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.HostId
import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.log.Member
import io.anvilvalve.api.peer.PeerFrame
import io.anvilvalve.api.result.LogEvent
import io.anvilvalve.api.result.ResultCode
import io.anvilvalve.api.routing.Backend
import io.anvilvalve.api.routing.FencingToken
import io.anvilvalve.api.routing.IngressLimits
import io.anvilvalve.api.routing.ServerStart
import io.anvilvalve.api.routing.Stage
import io.anvilvalve.api.routing.StateTopic
import kotlin.time.Duration

/** Effects that the daemon executes for the routing rules. */
sealed interface RoutingEffect {
    /** An effect on one request in flight. */
    sealed interface OnRequest : RoutingEffect {
        val id: RequestId
    }

    /** Answers the caller that the request was not executed and will not be. */
    data class Refuse(override val id: RequestId, val code: ResultCode, val retryAfter: Duration?) : OnRequest

    /** Runs the prefill of the request at [server]. */
    data class Prefill(override val id: RequestId, val attempt: Int, val server: Backend, val terms: CallTerms) :
        OnRequest

    /**
     * Sends the request to [server] and relays a successful answer; with [expectsStream], an answer that names no
     * content type is a stream.
     */
    data class Forward(
        override val id: RequestId,
        val attempt: Int,
        val server: Backend,
        val terms: CallTerms,
        val source: PrefillSource? = null,
        val expectsStream: Boolean = false,
    ) : OnRequest

    /** Relays the backend server's error answer, which the daemon holds. */
    data class RelayFailure(override val id: RequestId) : OnRequest

    /** Ends the request, which may have been executed, with an error; an answer that has started is cut off. */
    data class Fail(override val id: RequestId, val code: ResultCode) : OnRequest

    /** Cancels the call [attempt] by closing its connection. */
    data class Abandon(override val id: RequestId, val attempt: Int) : OnRequest

    /** Releases a prefill result that will not be fetched. */
    data class ReleaseHandle(val source: PrefillSource) : RoutingEffect

    /** Sends a frame to a peer. */
    data class SendFrame(val to: Member, val frame: PeerFrame) : RoutingEffect

    /**
     * Closes the connection to a peer that does not receive messages from this host, so that the next frame opens a new
     * one.
     */
    data class ResetPeer(val to: Member) : RoutingEffect

    /** The limits for callers changed. */
    data class LimitsChanged(val limits: IngressLimits) : RoutingEffect

    /** The routes and keys by which headers are checked changed. */
    data class HeadRulesChanged(val rules: HeadRules) : RoutingEffect

    /** Readiness for the balancer changed. */
    data class ReadyChanged(val ready: Boolean) : RoutingEffect

    /** Starts draining: answers from now on close their connections. */
    data object Draining : RoutingEffect

    /**
     * Closes the connections of callers that have been idle for [idleTime], and stops accepting new ones unless
     * [accepting] is set; reports the remaining ones with [RoutingEvent.ConnectionsCounted].
     */
    data class CloseConnections(val idleTime: Duration, val accepting: Boolean) : RoutingEffect

    /**
     * Sets the number of idle connections that this host may keep to each server; it keeps none to other servers, and
     * none before the first of these effects.
     */
    data class KeepConnections(val limits: Map<ServerStart, Int>) : RoutingEffect

    /** Acquires a fencing token from the store. */
    data object AcquireFencingToken : RoutingEffect

    /** Replaces the value of [key] in the store; a newer value may supersede this one before it is written. */
    class PutState(val topic: StateTopic, val key: String, val value: ByteArray) : RoutingEffect

    /** Orders [server] to change to [stage], unless a newer fencing token than [fence] has been acquired. */
    data class SendOrder(val server: Backend, val stage: Stage, val fence: FencingToken) : RoutingEffect

    /**
     * Starts or stops following changes in the store; reads for a new configuration wait up to [wait]. A start reads
     * the complete state again.
     */
    data class FollowStore(val active: Boolean, val wait: Duration) : RoutingEffect

    /** Reads the list of hosts from the store. */
    data object ReadHosts : RoutingEffect

    /** Writes this host's entry to the store, and reads the list of hosts again. */
    data object AnnounceHost : RoutingEffect

    /** Writes the entries of [missing] hosts to the store, removes those of hosts that are [gone], and reads the list again. */
    data class CorrectHosts(val missing: List<Member>, val gone: List<HostId>) : RoutingEffect

    /** Writes a log line. */
    data class Log(val event: LogEvent, val fields: Map<String, String>) : RoutingEffect

    /** Counts a finished request. */
    data class Measure(val summary: RequestOutcome) : RoutingEffect

    /** The process may exit. */
    data object Exit : RoutingEffect
}

/**
 * Parameters sent with a call to a backend server.
 *
 * @property deadline time that the backend server has to answer.
 * @property urgency 0 is the most urgent, 9 the least.
 * @property mayReuse whether the call may be sent on a connection that carried another call. A server may close such a
 * connection while the request is sent, so this is false for a call after which no other attempt is allowed.
 */
data class CallTerms(
    val deadline: Duration,
    val organisation: OrganisationId?,
    val urgency: Int,
    val mayReuse: Boolean = false,
)

/** Location of a prefill result: the server that ran the prefill, and the handle to fetch the result there. */
data class PrefillSource(val server: Backend, val handle: String)
