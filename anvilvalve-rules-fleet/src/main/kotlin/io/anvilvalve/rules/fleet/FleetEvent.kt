package io.anvilvalve.rules.fleet

import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.id.LogOffset
import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.log.LogRecord
import io.anvilvalve.api.log.Member
import io.anvilvalve.api.peer.PeerMessage
import io.anvilvalve.api.release.Organisation
import kotlin.time.Duration

/** Input of the fleet rules: membership, freshness evidence and token limits. */
sealed interface FleetEvent {
    /** A log read sent at [sentAt] reached the end of the log, and all its records have been applied. */
    data class TailReached(val sentAt: Duration) : FleetEvent

    /** A log read or append failed. */
    data object LogFailed : FleetEvent

    /** A log record, in offset order. Records of all types are passed, so that the rules know the applied offset. */
    data class RecordApplied(val offset: LogOffset, val record: LogRecord) : FleetEvent

    /** Restores membership and slots from a snapshot that covers all records up to [covered]. */
    data class Restored(val covered: LogOffset, val state: FleetSnapshot) : FleetEvent

    /** The organisations of the release in force. */
    data class LimitsChanged(val organisations: Collection<Organisation>) : FleetEvent

    /**
     * The operator's release note at [offset] states that an incarnation has ended.
     *
     * Follows the `RecordApplied` event of the note; a null offset means the last applied record.
     */
    data class DeclaredGone(val incarnation: Incarnation, val offset: LogOffset? = null) : FleetEvent

    /** A message from a peer, with the applied offset that its frame carries. */
    data class PeerReceived(val from: Member, val appliedOffset: LogOffset, val message: PeerMessage) : FleetEvent

    /** Asks to charge [tokens]; answered with `Admitted` or `Refused` no later than [deadline]. */
    data class Admit(val id: RequestId, val organisation: OrganisationId, val tokens: Long, val deadline: Duration) :
        FleetEvent

    /** The request has used [used] of its charged tokens; the rest is refunded. */
    data class Settle(val id: RequestId, val used: Long) : FleetEvent

    /** Starts a planned stop: the host releases all slots and leaves the fleet. */
    data object Drain : FleetEvent

    /** Periodic tick, every [FleetTimes.tickInterval]. */
    data object Tick : FleetEvent
}
