package io.anvilvalve.core

import io.anvilvalve.api.PoolScope
import io.anvilvalve.api.log.Member

/**
 * Immutable configuration of a [HostReducer].
 *
 * @property self the host, its incarnation and its peer address.
 * @property seed seed of all pseudo-random choices.
 * @property poolScope which backend servers one pool owner schedules; must be the same on all hosts.
 * @property limitSlots number of limit slots of the fleet; must be the same on all hosts.
 */
data class HostConfig(
    val self: Member,
    val seed: Long,
    val limitSlots: Int = 64,
    val poolScope: PoolScope = PoolScope.FLEET,
)
