package io.anvilvalve.rules.routing

import io.anvilvalve.api.routing.RequestKind
import io.anvilvalve.api.routing.RouteRule
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** How long callers of a route wait without an event before they leave. */
internal object CallerPatience {
    /** Time without an event after which callers of [route] leave; infinite for calls, which have no events. */
    fun of(route: RouteRule): Duration = if (route.kind == RequestKind.STREAM) {
        maxOf(SHORTEST, route.objective * OBJECTIVES, (route.targetGap ?: Duration.ZERO) * GAPS)
    } else {
        Duration.INFINITE
    }

    /** The three figures are the platform's. */
    private val SHORTEST = 2.seconds
    private const val OBJECTIVES = 4
    private const val GAPS = 8
}
