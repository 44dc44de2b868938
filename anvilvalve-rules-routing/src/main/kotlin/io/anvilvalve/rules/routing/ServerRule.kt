package io.anvilvalve.rules.routing

import io.anvilvalve.api.routing.Backend
import kotlin.time.Duration

/** A reason, other than health and load, for which backend servers get no new calls. */
internal fun interface ServerRule {
    /**
     * Whether the rule limits the number of calls rather than where they go. Such a rule is applied only where servers
     * are selected: the calls selected here are counted here, and those that a coordinator grants are counted there.
     */
    val limitsRate: Boolean get() = false

    /** Whether [server] may get a call for [need]; a null [need] asks for a call of no particular request. */
    fun allows(server: Backend, need: PlacementNeed?): Boolean

    /**
     * Expected time until [server], to which this rule allows no calls at present, may get some; [Placement.NEVER] if
     * that is not known.
     */
    fun waitFor(server: Backend): Duration = Placement.NEVER

    /** Calls a second that [server] may get from what this host selects; servers without a limit are preferred. */
    fun rateLimit(server: Backend): Double = Double.POSITIVE_INFINITY

    /** Records that [server] was selected for a call. */
    fun selected(server: Backend) = Unit
}
