package io.anvilvalve.api.routing

/** One version of the operators' complete configuration; a later version replaces it as a whole. */
data class RoutingConfiguration(
    val version: Long,
    val routes: List<RouteRule> = emptyList(),
    val services: Map<ServiceId, ServiceSpec> = emptyMap(),
    val organisations: List<OrganisationRule> = emptyList(),
    val limits: IngressLimits = IngressLimits(),
)
