package io.anvilvalve.core

import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.id.LogOffset
import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.log.KeptReply
import io.anvilvalve.api.log.LogRecord
import io.anvilvalve.api.log.Member
import io.anvilvalve.api.peer.PeerFrame
import io.anvilvalve.api.port.EngineOrder
import io.anvilvalve.api.port.KvHandle
import io.anvilvalve.api.release.BackendServer
import io.anvilvalve.api.result.LogEvent
import io.anvilvalve.api.result.ResultCode
import kotlin.time.Duration

/** Side effect for the daemon to perform. Effects are performed in order; results return as [HostEvent]s. */
sealed interface HostEffect {
    /** Reads the log from offset [from] after [delay]; at most one read is in progress. */
    data class ReadLog(val from: LogOffset, val delay: Duration) : HostEffect

    /** Appends [records] in one call. */
    data class AppendToLog(val records: List<LogRecord>) : HostEffect

    /** Sends [frame] to the peer [to]; the frame may be lost. */
    data class SendFrame(val to: Member, val frame: PeerFrame) : HostEffect

    /** Answers the caller with an error before any part of the answer was sent, and removes the request. */
    data class Refuse(val id: RequestId, val code: ResultCode, val retryAfterMillis: Long = 0) : HostEffect

    /** Prefills the prompt and the first [resumeFrom] tokens of the answer at [server]. */
    data class StartPrefill(
        val id: RequestId,
        val attempt: Int,
        val server: BackendServer,
        val priority: Int,
        val resumeFrom: Int,
    ) : HostEffect

    /** Streams the answer from [server], starting at sequence number [resumeFrom]. */
    data class StartDecode(
        val id: RequestId,
        val attempt: Int,
        val server: BackendServer,
        val kv: KvHandle,
        val priority: Int,
        val resumeFrom: Int,
    ) : HostEffect

    /** Stops this host's prefill call or stream of an attempt; no further output of it reaches the caller. */
    data class StopAttempt(val id: RequestId, val attempt: Int) : HostEffect

    /** Completes the caller's answer and removes the request. */
    data class FinishAnswer(val id: RequestId) : HostEffect

    /** Ends the caller's answer, part of which may have been sent, with an error and removes the request. */
    data class FailAnswer(val id: RequestId, val code: ResultCode) : HostEffect

    /** Sends the service call of a request to [server] once, without retries. */
    data class CallService(val id: RequestId, val server: BackendServer) : HostEffect

    /** Answers a call to a plain service and removes the request; [replayed] marks a stored reply. */
    data class ReplyService(val id: RequestId, val reply: KeptReply, val replayed: Boolean) : HostEffect

    /** Cancels an attempt at a backend server, which frees its resources. */
    data class CancelAttempt(val server: BackendServer, val engineId: String) : HostEffect

    /** Replaces the set of backend servers that are polled for load and cache events. */
    data class WatchServers(val servers: List<BackendServer>) : HostEffect

    /** Reads the state of an engine. */
    data class ReadState(val server: BackendServer) : HostEffect

    /** Sends an order to an engine. */
    data class SendOrder(val server: BackendServer, val order: EngineOrder) : HostEffect

    /** Readiness for the platform's load balancer changed. */
    data class ReadyChanged(val ready: Boolean) : HostEffect

    /** Writes a log line. */
    data class Log(val event: LogEvent, val fields: Map<String, String>) : HostEffect

    /** Records the metrics of a finished request. */
    data class Measure(val summary: RequestSummary) : HostEffect

    /** The routes or keys by which headers are checked changed. */
    data class HeadRulesChanged(val rules: HeadRules) : HostEffect

    /** The status changed, for example the applied release or the models that it offers. */
    data class StatusChanged(val status: HostStatus) : HostEffect

    /** The process may exit: after a drain, or after removal by its peers when [clean] is false. */
    data class Exit(val clean: Boolean) : HostEffect
}
