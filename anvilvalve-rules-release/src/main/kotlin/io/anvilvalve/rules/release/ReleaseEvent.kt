package io.anvilvalve.rules.release

import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.id.KeyHash
import io.anvilvalve.api.id.LogOffset
import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.log.Claim
import io.anvilvalve.api.log.KeptReply
import io.anvilvalve.api.log.LogRecord
import io.anvilvalve.api.log.Member
import io.anvilvalve.api.port.EngineTarget

/** Input of the release rules. */
sealed interface ReleaseEvent {
    /** A log record was read; records arrive in offset order. */
    data class RecordApplied(val offset: LogOffset, val record: LogRecord) : ReleaseEvent

    /** A complete snapshot was read or received; ignored unless it covers more than is already applied. */
    data class Restored(val covered: LogOffset, val state: ReleaseSnapshot) : ReleaseEvent

    /** A peer or operator withdrew a key. */
    data class KeyWithdrawalReceived(val hash: KeyHash) : ReleaseEvent

    /** A log read reached the tail. */
    data object TailReached : ReleaseEvent

    /** A log append failed; [mayHaveHappened] is false only if the log refused it. */
    data class AppendFailed(val records: List<LogRecord>, val mayHaveHappened: Boolean) : ReleaseEvent

    /** A non-repeatable call was requested; answered by a `Claim...` effect. */
    data class ClaimRequested(val id: RequestId, val claim: ClaimRequest) : ReleaseEvent

    /** A peer of the same data centre sent claims for this host to append. */
    data class ClaimsReceived(val claims: List<Claim>) : ReleaseEvent

    /** The backend server replied to the call of a winning claim. */
    data class ClaimReplied(val id: RequestId, val reply: KeptReply) : ReleaseEvent

    /** The request of a winning or waiting claim was given up; [sent] is true if any byte may have been sent. */
    data class ClaimGivenUp(val id: RequestId, val sent: Boolean) : ReleaseEvent

    /** The membership changed; [current] is true while this host has recent evidence that it is a member. */
    data class MembersChanged(val members: List<Member>, val current: Boolean) : ReleaseEvent

    /** The removal of an incarnation took effect. */
    data class RemovalEffective(val incarnation: Incarnation) : ReleaseEvent

    /** The state of a backend server was read; [state] is null if the read failed. */
    data class StateRead(val server: BackendServerId, val state: EngineTarget?) : ReleaseEvent

    /** An order was answered; [refused] is true if its fencing token was outdated, null if the answer was lost. */
    data class OrderAnswered(val server: BackendServerId, val refused: Boolean?) : ReleaseEvent

    /**
     * Periodic tick; [wallMillis] is the wall clock in milliseconds since the Unix epoch, used only for UUIDv7 keys.
     */
    data class Tick(val wallMillis: Long) : ReleaseEvent
}
