package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.routing.Backend
import io.anvilvalve.api.routing.ServiceId
import io.anvilvalve.api.routing.ServiceSpec
import io.anvilvalve.api.routing.Stage
import kotlin.time.Duration

/** All [ServerRule]s together: which servers may get a call, and when those may that get none at present. */
internal class ServerRules(private val directory: Directory, private val rules: List<ServerRule>) {
    private val rateRules = rules.filter { it.limitsRate }

    /** Whether no [ServerRule] keeps [server] from getting a call for [need]. */
    fun isAllowed(server: Backend, need: PlacementNeed?, applies: (ServerRule) -> Boolean = { true }): Boolean =
        rules.all { !applies(it) || it.allows(server, need) }

    /** Whether [server], selected for [need] before, may still get the call. */
    fun mayReceive(server: Backend, need: PlacementNeed): Boolean = isAllowed(server, need) { !it.limitsRate }

    /** Tells the rules that [server] was selected for a call. */
    fun selected(server: Backend) = rules.forEach { it.selected(server) }

    /** Whether a rule limits how many calls this host may select [server] for. */
    fun isRateLimited(server: Backend): Boolean = rateRules.any { it.rateLimit(server).isFinite() }

    /** Calls a second for which this host may select [server]; infinite if no rule limits them. */
    fun rateLimit(server: Backend): Double = rateRules.minOfOrNull { it.rateLimit(server) } ?: Double.POSITIVE_INFINITY

    /** Servers of [service] that no call for [need] may use because of a [ServerRule]. */
    fun ruledOut(service: ServiceId, need: PlacementNeed): List<BackendServerId> =
        directory.of(service).filterNot { mayReceive(it, need) }.map { it.id }

    /**
     * Expected time until the rules allow a call for [need] to some server, or [Placement.NEVER]; zero if they allow one now or
     * keep no server from it.
     */
    fun waitForRules(need: PlacementNeed): Duration {
        val (allowed, others) = callTargets(need.service).partition { mayReceive(it, need) }
        if (others.isEmpty() || allowed.any { it.id !in need.avoided }) return Duration.ZERO
        return others.filter { it.id !in need.avoided }.minOfOrNull { waitForRules(it, need) } ?: Placement.NEVER
    }

    /** Whether there is a server for [need] beside those that it avoids. */
    fun hasOther(need: PlacementNeed): Boolean = callTargets(need.service).any { it.id !in need.avoided }

    private fun waitForRules(server: Backend, need: PlacementNeed?): Duration =
        rules.filterNot { it.limitsRate || it.allows(server, need) }.maxOfOrNull { it.waitFor(server) }
            ?: Placement.NEVER

    /** Expected time until the rules allow a call to some server of [spec], or [Placement.NEVER]. */
    fun waitForAllowed(spec: ServiceSpec): Duration =
        callTargets(spec).minOfOrNull { waitForRules(it, null) } ?: Placement.NEVER

    private fun callTargets(spec: ServiceSpec): List<Backend> =
        directory.of(spec.id).filter { !it.leaving && (spec.engine == null || it.stage != Stage.PREFILL) }
}
