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

/** Input of the release rules: notes, keys, snapshots, claims and engine orders. */
sealed interface ReleaseEvent {
    /** A record of the log, in offset order. */
    data class RecordApplied(val offset: LogOffset, val record: LogRecord) : ReleaseEvent

    /** A complete snapshot was read or received; ignored when it covers less than is applied. */
    data class Restored(val covered: LogOffset, val state: ReleaseSnapshot) : ReleaseEvent

    /** A peer or operator withdrew a key. */
    data class KeyWithdrawalReceived(val hash: KeyHash) : ReleaseEvent

    /** The log tail was reached at this time. */
    data object TailReached : ReleaseEvent

    /** A log append failed: refused when [mayHaveHappened] is false. */
    data class AppendFailed(val records: List<LogRecord>, val mayHaveHappened: Boolean) : ReleaseEvent

    /** A call that may not be repeated asks to run; answered by a `Claim...` effect. */
    data class ClaimRequested(val id: RequestId, val claim: ClaimRequest) : ReleaseEvent

    /** A peer of the data centre asks this host to append its claims. */
    data class ClaimsReceived(val claims: List<Claim>) : ReleaseEvent

    /** The winner of a claim got its reply from the backend server. */
    data class ClaimReplied(val id: RequestId, val reply: KeptReply) : ReleaseEvent

    /** The winner or waiter gives up; [sent] tells whether a byte may have left. */
    data class ClaimGivenUp(val id: RequestId, val sent: Boolean) : ReleaseEvent

    /** The members changed. */
    data class MembersChanged(val members: List<Member>, val current: Boolean) : ReleaseEvent

    /** The removal of an incarnation took effect. */
    data class RemovalEffective(val incarnation: Incarnation) : ReleaseEvent

    /** A backend server's state was read back; null when it could not be read. */
    data class StateRead(val server: BackendServerId, val state: EngineTarget?) : ReleaseEvent

    /** An order was answered; [refused] when the fencing number was old, null when the answer was lost. */
    data class OrderAnswered(val server: BackendServerId, val refused: Boolean?) : ReleaseEvent

    /** Time has passed; [wallMillis] is the wall clock in milliseconds since 1970, used for UUIDv7 keys only. */
    data class Tick(val wallMillis: Long) : ReleaseEvent
}
