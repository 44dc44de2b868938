package io.anvilvalve.rules.release

import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.id.KeyHash
import io.anvilvalve.api.id.NoteId
import io.anvilvalve.api.id.ReleaseNumber
import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.log.KeptReply
import io.anvilvalve.api.log.LogRecord
import io.anvilvalve.api.log.Member
import io.anvilvalve.api.peer.PeerMessage
import io.anvilvalve.api.port.EngineOrder
import io.anvilvalve.api.release.Release
import io.anvilvalve.api.result.ResultCode

/** Output of the release rules. */
sealed interface ReleaseEffect {
    /** Appends [records] in one call; whether they were appended is determined by reading the log. */
    data class Append(val records: List<LogRecord>) : ReleaseEffect

    /** Sends [message] to [to] without guaranteed delivery. */
    data class Send(val to: Member, val message: PeerMessage) : ReleaseEffect

    /** The release changed; [release] is now in force on this host. */
    data class ReleaseChanged(val release: Release) : ReleaseEffect

    /** A note was rejected; none of its changes was applied. */
    data class NoteRejected(val note: NoteId, val current: ReleaseNumber, val faults: List<NoteFault>) : ReleaseEffect

    /** An operator declared that the process with this incarnation has ended. */
    data class DeclaredGone(val incarnation: Incarnation) : ReleaseEffect

    /**
     * A key was withdrawn: its running requests are cancelled, and peers are notified unless the withdrawal is in the
     * log ([inLog]).
     */
    data class KeyWithdrawn(val hash: KeyHash, val inLog: Boolean = false) : ReleaseEffect

    /** The call of request [id] may be sent exactly once. */
    data class ClaimWon(val id: RequestId) : ReleaseEffect

    /** The call has already run; [reply] is its stored reply. */
    data class ClaimReplayed(val id: RequestId, val reply: KeptReply) : ReleaseEffect

    /** The call must not be sent; [code] is the reason. */
    data class ClaimRefused(val id: RequestId, val code: ResultCode) : ReleaseEffect

    /** Reads the state of a backend server. */
    data class ReadState(val server: BackendServerId) : ReleaseEffect

    /** Sends an order to a backend server. */
    data class SendOrder(val server: BackendServerId, val order: EngineOrder) : ReleaseEffect
}
