package io.anvilvalve.rules.fleet

import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.id.LogOffset
import io.anvilvalve.api.log.Member
import kotlinx.serialization.Serializable

/**
 * A membership record that is not yet known to a majority, or whose removal has not taken effect.
 *
 * @property removed member whose removal waits for its effect; null for other records.
 * @property voters members of the view before the record, without a removed one.
 */
@Serializable
data class MembershipChange(val offset: LogOffset, val removed: Member?, val voters: Set<Incarnation>)
