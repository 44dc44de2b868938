package io.anvilvalve.rules.fleet

import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.id.LogOffset
import io.anvilvalve.api.log.Member
import kotlinx.serialization.Serializable

/**
 * Membership and slot owners as of a log offset.
 *
 * @property members members with the offset of their join record.
 * @property removals removed members whose removal may not have taken effect, with the offset of the removal record.
 * @property slots owner of each assigned limit slot.
 * @property membership offset of the last membership record.
 * @property changes membership records that were unconfirmed or not in effect at the writer, in log order.
 * @property ended incarnations that have ended, oldest first; a late copy of their join record is ignored.
 */
@Serializable
data class FleetSnapshot(
    val members: List<Pair<Member, LogOffset>> = emptyList(),
    val removals: List<Pair<Member, LogOffset>> = emptyList(),
    val slots: Map<Int, Incarnation> = emptyMap(),
    val membership: LogOffset = LogOffset(-1),
    val changes: List<MembershipChange> = emptyList(),
    val ended: List<Incarnation> = emptyList(),
)
