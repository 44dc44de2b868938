package io.anvilvalve.core

import arrow.core.Either
import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.id.KeyHash
import io.anvilvalve.api.id.LogOffset
import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.log.KeptReply
import io.anvilvalve.api.log.LogRecord
import io.anvilvalve.api.peer.PeerFrame
import io.anvilvalve.api.port.BackendFault
import io.anvilvalve.api.port.CacheEvent
import io.anvilvalve.api.port.EngineTarget
import io.anvilvalve.api.port.KvHandle
import io.anvilvalve.api.port.LiveHost
import io.anvilvalve.api.port.LoadReport
import io.anvilvalve.api.port.LogFault
import io.anvilvalve.api.port.LogPage
import kotlin.time.Duration

/** Input of an entry host; the host handles all events in a single order. */
sealed interface HostEvent {
    /** Answer to [HostEffect.ReadLog] that was sent at [sentAt]. */
    data class LogRead(val sentAt: Duration, val result: Either<LogFault, LogPage>) : HostEvent

    /** Answer to [HostEffect.AppendToLog]. */
    data class Appended(val records: List<LogRecord>, val result: Either<LogFault, LogOffset>) : HostEvent

    /** A frame from an authenticated peer. */
    data class FrameReceived(val frame: PeerFrame) : HostEvent

    /** The platform's list of hosts was read. */
    data class LiveListRead(val hosts: List<LiveHost>) : HostEvent

    /** A caller sent a request to a model. */
    data class RequestArrived(val request: ModelRequest) : HostEvent

    /** A caller called a plain service. */
    data class ServiceArrived(val request: ServiceRequest) : HostEvent

    /** A caller closed its connection or ran into a timeout. */
    data class CallerGone(val id: RequestId) : HostEvent

    /** Answer to [HostEffect.StartPrefill]. */
    data class PrefillEnded(val id: RequestId, val attempt: Int, val result: Either<BackendFault, KvHandle>) : HostEvent

    /** A decode attempt delivered tokens up to but not including sequence number [delivered]. */
    data class TokensDelivered(val id: RequestId, val attempt: Int, val delivered: Int) : HostEvent

    /** A decode attempt ended after [delivered] tokens in total; [fault] is null when the answer is complete. */
    data class DecodeEnded(val id: RequestId, val attempt: Int, val delivered: Int, val fault: BackendFault?) :
        HostEvent

    /** Answer to [HostEffect.CallService]. */
    data class ServiceReplied(val id: RequestId, val result: Either<BackendFault, KeptReply>) : HostEvent

    /** Answer to [HostEffect.CancelAttempt]. */
    data class CancelAnswered(val server: BackendServerId, val engineId: String, val confirmed: Boolean) : HostEvent

    /** The load of a watched backend server was read; [report] is null when the read failed. */
    data class LoadRead(val server: BackendServerId, val report: LoadReport?) : HostEvent

    /** A watched backend server reported cache events. */
    data class CacheRead(val server: BackendServerId, val events: List<CacheEvent>) : HostEvent

    /** Answer to [HostEffect.ReadState]; [state] is null when the read failed. */
    data class StateRead(val server: BackendServerId, val state: EngineTarget?) : HostEvent

    /** Answer to [HostEffect.SendOrder]; [refused] is null when the answer was lost. */
    data class OrderAnswered(val server: BackendServerId, val refused: Boolean?) : HostEvent

    /** An operator withdrew a key at this host. */
    data class KeyWithdrawn(val hash: KeyHash) : HostEvent

    /** An operator asked for a planned stop that ends within [deadline] from now. */
    data class DrainRequested(val deadline: Duration) : HostEvent

    /** Time has passed; sent every 50 ms, with the wall clock in milliseconds since 1970. */
    data class Tick(val wallMillis: Long) : HostEvent
}
