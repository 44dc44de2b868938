package io.anvilvalve.rules.fleet

import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.log.LogRecord
import io.anvilvalve.api.log.Member
import io.anvilvalve.api.peer.PeerMessage
import io.anvilvalve.api.result.ResultCode

/** Output of the fleet rules. */
sealed interface FleetEffect {
    /** Appends [record] to the log; it takes effect only when it is read back from the log. */
    data class Append(val record: LogRecord) : FleetEffect

    /** Sends [message] to [to] without a delivery guarantee. */
    data class Send(val to: Member, val message: PeerMessage) : FleetEffect

    /** The request [id] is charged and may run. */
    data class Admitted(val id: RequestId) : FleetEffect

    /** The request [id] is not charged and must not run. */
    data class Refused(val id: RequestId, val code: ResultCode, val retryAfterMillis: Long) : FleetEffect

    /** The host became current, or is no longer current because its evidence expired or its incarnation has ended. */
    data class CurrentChanged(val current: Boolean) : FleetEffect

    /** The new list of members, from which peers and pools are chosen. */
    data class MembersChanged(val members: List<Member>) : FleetEffect

    /** The removal of [member] took effect: it no longer admits, grants or refills. */
    data class RemovalEffective(val member: Member) : FleetEffect

    /** This incarnation has been removed; the host must restart as a new one. */
    data object SelfRemoved : FleetEffect

    /** All slots are released and the host has left; [incarnation] may stop. */
    data class Left(val incarnation: Incarnation) : FleetEffect
}
