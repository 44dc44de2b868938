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

/** What the daemon has to do; performed in order, answers come back as events. */
sealed interface HostEffect {
    /** Reads the log from [from] on after [delay]; at most one read is under way. */
    data class ReadLog(val from: LogOffset, val delay: Duration) : HostEffect

    /** Appends [records] in one call. */
    data class AppendToLog(val records: List<LogRecord>) : HostEffect

    /** Sends [frame] to [to]; may be lost. */
    data class SendFrame(val to: Member, val frame: PeerFrame) : HostEffect

    /** Answers the caller with an error before anything of the answer was sent, and forgets the request. */
    data class Refuse(val id: RequestId, val code: ResultCode, val retryAfterMillis: Long = 0) : HostEffect

    /** Runs the prompt and the first [resumeFrom] tokens of the answer at [server]. */
    data class StartPrefill(
        val id: RequestId,
        val attempt: Int,
        val server: BackendServer,
        val priority: Int,
        val resumeFrom: Int,
    ) : HostEffect

    /** Streams the answer from [server], from sequence number [resumeFrom] on. */
    data class StartDecode(
        val id: RequestId,
        val attempt: Int,
        val server: BackendServer,
        val kv: KvHandle,
        val priority: Int,
        val resumeFrom: Int,
    ) : HostEffect

    /** Stops the prefill or stream of an attempt at the host; nothing more of it reaches the caller. */
    data class StopAttempt(val id: RequestId, val attempt: Int) : HostEffect

    /** Ends the caller's answer as whole and forgets the request. */
    data class FinishAnswer(val id: RequestId) : HostEffect

    /** Ends the caller's answer, of which a part may have been sent, with an error, and forgets the request. */
    data class FailAnswer(val id: RequestId, val code: ResultCode) : HostEffect

    /** Sends the call of a request to [server], once. */
    data class CallService(val id: RequestId, val server: BackendServer) : HostEffect

    /** Answers a call to a plain service and forgets the request; [replayed] when the reply is a kept one. */
    data class ReplyService(val id: RequestId, val reply: KeptReply, val replayed: Boolean) : HostEffect

    /** Frees an attempt at a backend server. */
    data class CancelAttempt(val server: BackendServer, val engineId: String) : HostEffect

    /** Polls load and cache events of exactly these backend servers from now on. */
    data class WatchServers(val servers: List<BackendServer>) : HostEffect

    /** Reads the state of an engine. */
    data class ReadState(val server: BackendServer) : HostEffect

    /** Sends an order to an engine. */
    data class SendOrder(val server: BackendServer, val order: EngineOrder) : HostEffect

    /** Readiness for the platform's balancer changed. */
    data class ReadyChanged(val ready: Boolean) : HostEffect

    /** Writes a log line. */
    data class Log(val event: LogEvent, val fields: Map<String, String>) : HostEffect

    /** Counts a finished request. */
    data class Measure(val summary: RequestSummary) : HostEffect

    /** The release in force and the models that it offers changed. */
    data class StatusChanged(val status: HostStatus) : HostEffect

    /** The process may exit: drained, or removed by its peers when [clean] is false. */
    data class Exit(val clean: Boolean) : HostEffect
}
