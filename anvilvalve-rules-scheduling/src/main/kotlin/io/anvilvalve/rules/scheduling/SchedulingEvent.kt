package io.anvilvalve.rules.scheduling

import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.id.HostId
import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.peer.Phase
import io.anvilvalve.api.peer.PlacementOutcome
import io.anvilvalve.api.peer.WorkItem
import io.anvilvalve.api.port.CacheEvent
import io.anvilvalve.api.port.LoadReport
import io.anvilvalve.api.release.BackendServer
import io.anvilvalve.api.release.Model
import io.anvilvalve.api.result.ResultCode
import kotlin.time.Duration

/** Input of the scheduler of the pools that a host owns. */
sealed interface SchedulingEvent {
    /**
     * A host requests a placement.
     *
     * A repeated submit of the same attempt gets the same reply until the attempt has started, and never reserves
     * anything twice. A later attempt ends the earlier one, and uses its prefill result, at the server that has it,
     * until the result expires.
     */
    data class Submitted(val item: WorkItem, val attempt: Int) : SchedulingEvent

    /** The origin reports a step of a placed request. */
    data class Progressed(
        val id: RequestId,
        val attempt: Int,
        val phase: Phase,
        val tokens: Int,
        val spent: Duration,
    ) : SchedulingEvent

    /** The origin announces a running request that another pool owner placed. */
    data class RunningAnnounced(val item: WorkItem, val attempt: Int, val placed: PlacementOutcome.Placed) :
        SchedulingEvent

    /** The caller disconnected or the origin abandoned the request; releases its queue entry and reservations. */
    data class Withdrawn(val id: RequestId) : SchedulingEvent

    /** An origin was removed; all its requests end. */
    data class OriginRemoved(val origin: HostId) : SchedulingEvent

    /** The backend servers or models of the applied release changed. */
    data class ServersChanged(val servers: Collection<BackendServer>, val models: Collection<Model>) : SchedulingEvent

    /** A backend server reported its load. */
    data class LoadReported(val server: BackendServerId, val report: LoadReport) : SchedulingEvent

    /** A backend server reported changes of its prefix cache. */
    data class CacheReported(val server: BackendServerId, val events: List<CacheEvent>) : SchedulingEvent

    /** A call to a backend server failed with [code]; repeated failures open its circuit breaker. */
    data class ServerFailed(val server: BackendServerId, val code: ResultCode) : SchedulingEvent

    /** Periodic timer event; applies timeouts and deadlines. */
    data object Tick : SchedulingEvent
}
