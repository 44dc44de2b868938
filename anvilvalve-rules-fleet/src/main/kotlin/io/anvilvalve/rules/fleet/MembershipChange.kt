package io.anvilvalve.rules.fleet

import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.id.LogOffset
import io.anvilvalve.api.log.Member
import kotlinx.serialization.Serializable

/**
 * A membership record that no majority has confirmed yet, or whose removal has not taken effect.
 *
 * @property removed member whose removal has not taken effect; null for other records.
 * @property voters members before the record, without the removed one; a majority of them confirms the record.
 */
@Serializable
data class MembershipChange(val offset: LogOffset, val removed: Member?, val voters: Set<Incarnation>)
