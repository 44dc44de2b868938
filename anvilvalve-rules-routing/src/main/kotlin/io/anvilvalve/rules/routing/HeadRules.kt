package io.anvilvalve.rules.routing

import io.anvilvalve.api.routing.RoutingConfiguration

/**
 * Immutable routes and keys of one configuration, by which a host decides whether to read the body of a request.
 *
 * The reducer still decides about every request when it arrives.
 */
class HeadRules internal constructor(configuration: RoutingConfiguration) {
    private val routes = RouteTable(configuration.routes)
    private val keys = configuration.organisations.flatMapTo(HashSet()) { it.keys }
    private val needsKey = configuration.organisations.isNotEmpty()

    /** Whether [request] has a route and the key that it needs. */
    fun mayAdmit(request: InboundRequest): Boolean {
        val route = routes.find(request.host, request.path) ?: return false
        return route.open || !needsKey || request.key in keys
    }
}
