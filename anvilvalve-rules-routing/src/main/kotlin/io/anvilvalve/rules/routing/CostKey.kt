package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.routing.ServiceId

/**
 * Requests whose cost is learned together: those of [organisation] on [route], all of [route] if it is null, or all of
 * [service] if [route] is empty.
 */
internal data class CostKey(val service: ServiceId, val route: String = "", val organisation: OrganisationId? = null)
