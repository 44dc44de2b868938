package io.anvilvalve.rules.routing

import io.anvilvalve.api.routing.RouteRule

/** Finds the route of a request: the one for its host name with the longest matching path prefix. */
internal class RouteTable(routes: List<RouteRule>) {
    private val byHost: Map<String, List<RouteRule>> = routes.groupBy { it.host.lowercase() }
        .mapValues { (_, list) -> list.sortedByDescending { it.pathPrefix.length } }

    fun find(host: String, path: String): RouteRule? = byHost[host]?.firstOrNull { path.startsWith(it.pathPrefix) }
}
