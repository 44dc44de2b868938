package io.anvilvalve.api.routing

import kotlin.time.Duration

/** One version of the operators' complete configuration; a later version replaces it as a whole. */
data class RoutingConfiguration(
    val version: Long,
    val routes: List<RouteRule> = emptyList(),
    val services: Map<ServiceId, ServiceSpec> = emptyMap(),
    val organisations: List<OrganisationRule> = emptyList(),
    val limits: IngressLimits = IngressLimits(),
) {
    /** Longest time that a stream may take, with all its parts. */
    val longestStream: Duration
        get() = routes.filter { it.kind == RequestKind.STREAM }.maxOfOrNull { it.timeout } ?: Duration.ZERO
}
