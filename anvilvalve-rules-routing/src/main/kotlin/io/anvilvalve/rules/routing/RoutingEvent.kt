package io.anvilvalve.rules.routing

import arrow.core.Either
import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.peer.PeerFrame
import io.anvilvalve.api.routing.Backend
import io.anvilvalve.api.routing.FencingToken
import io.anvilvalve.api.routing.StatePage
import io.anvilvalve.api.routing.StateTopic
import io.anvilvalve.api.routing.StoreFault

/** Input of the routing rules. */
sealed interface RoutingEvent {
    /** A read of [topic] completed. */
    data class StateRead(val topic: StateTopic, val result: Either<StoreFault, StatePage>) : RoutingEvent

    /** A complete request was read from a caller. */
    data class Arrived(val request: InboundRequest) : RoutingEvent

    /** The caller's connection was closed, by this host if [closedHere] is set. */
    data class CallerGone(val id: RequestId, val closedHere: Boolean = false) : RoutingEvent

    /** A prefill completed or failed. */
    data class PrefillEnded(val id: RequestId, val attempt: Int, val result: PrefillResult) : RoutingEvent

    /**
     * The head of a successful answer arrived and is being relayed; [endsWithConnection] is set if it has neither a
     * length nor chunks.
     */
    data class AnswerStarted(val id: RequestId, val attempt: Int, val endsWithConnection: Boolean = false) :
        RoutingEvent

    /** [events] events of a streamed answer have been relayed since it started. */
    data class AnswerProgressed(val id: RequestId, val attempt: Int, val events: Int) : RoutingEvent

    /** The head of an answer of [server] arrived and states [signals]; posted before the events of the call's result. */
    data class ServerReported(val server: Backend, val signals: ServerSignals) : RoutingEvent

    /** A call completed or failed; [events] events of a streamed answer have been relayed since it started. */
    data class AttemptEnded(val id: RequestId, val attempt: Int, val result: AttemptResult, val events: Int = 0) :
        RoutingEvent

    /** A peer sent a message. */
    data class FrameReceived(val frame: PeerFrame) : RoutingEvent

    /** A fencing token was acquired; [token] is null if the store did not answer. */
    data class FencingTokenAcquired(val token: FencingToken?) : RoutingEvent

    /** The outstanding order completed or failed. */
    data class OrderEnded(val outcome: OrderOutcome) : RoutingEvent

    /** [open] connections of callers are open after a [RoutingEffect.CloseConnections] with the same [accepting]. */
    data class ConnectionsCounted(val open: Int, val accepting: Boolean) : RoutingEvent

    /** The platform requested a graceful shutdown; [announced] tells whether the balancer was told that the host is ready. */
    data class DrainRequested(val announced: Boolean = true) : RoutingEvent

    /** Time has passed; sent every 25 ms while requests are in flight or a message waits, otherwise every 100 ms. */
    data object Tick : RoutingEvent
}
