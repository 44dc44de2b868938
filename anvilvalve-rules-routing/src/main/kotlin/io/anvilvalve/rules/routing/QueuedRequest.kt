package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.id.RegionId
import io.anvilvalve.api.routing.ServiceSpec
import kotlin.time.Duration

/** A request that waits for capacity, at the host that received it or at the coordinator that places it. */
internal sealed interface QueuedRequest {
    val service: ServiceSpec

    /** Name of the route. */
    val routeName: String

    /** Organisation whose key the request has; null for open routes. */
    val organisationId: OrganisationId?

    /** Regions to which the request may be sent; empty if there is no such limit. */
    val allowedRegions: Set<RegionId>

    /** Software version of the server that began the stream; null if there is no such limit. */
    val streamVersion: String?

    /** Time by which the answer must be complete. */
    val deadlineAt: Duration

    /** Time at which the caller leaves if the request has had no event; infinite for calls. */
    val patienceEndsAt: Duration

    /** Prompt tokens to prefill; 0 if no prefill is needed. */
    val promptTokens: Int

    /** Servers that the request may use; requests with the same restriction can be placed in the same places. */
    val restriction: Restriction

    /** Rank of the organisation or route; 0 is the most urgent. */
    val urgency: Int
    val arrivedAt: Duration

    /** Time of the caller's first attempt, as far as the remaining time until its deadline shows it. */
    val firstTriedAt: Duration

    /** Time by which the route's objective requires the answer, or the first event of a stream. */
    val objectiveAt: Duration

    /** Time since when the request has been waiting. */
    val waitingSince: Duration

    /** Whether the caller has come back after a refusal. */
    val isCallerRetry: Boolean

    /** Memory in tokens to reserve at an engine. */
    val memoryTokens: Int

    /** Whether a coordinator has been asked to place the request. */
    val isDelegated: Boolean

    /** Identifies the request among the queued requests of this host. */
    var queueNumber: Long
}
