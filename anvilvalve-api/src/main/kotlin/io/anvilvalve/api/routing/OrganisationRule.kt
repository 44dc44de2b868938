package io.anvilvalve.api.routing

import io.anvilvalve.api.id.KeyHash
import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.id.RegionId

/**
 * Keys and limits of an organisation.
 *
 * @property priority rank that overrides the route's priority; null when the organisation has none.
 * @property ratePerSecond tokens (or requests, see [countsTokens]) a second over all hosts; 0 means no limit.
 * @property burst tokens (or requests) that may be spent at once.
 * @property countsTokens whether the quota counts tokens; otherwise each request counts as one.
 * @property tokensWithoutUsage tokens charged for a request that states no token usage.
 * @property allowedRegions regions to which its requests may be sent; empty if there is no such limit.
 */
data class OrganisationRule(
    val id: OrganisationId,
    val keys: Set<KeyHash>,
    val priority: Int? = null,
    val ratePerSecond: Double = 0.0,
    val burst: Double = 0.0,
    val countsTokens: Boolean = true,
    val tokensWithoutUsage: Int = 0,
    val allowedRegions: Set<RegionId> = emptySet(),
)
