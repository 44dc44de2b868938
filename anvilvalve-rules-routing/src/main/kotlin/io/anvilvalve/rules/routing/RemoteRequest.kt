package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.id.RegionId
import io.anvilvalve.api.log.Member
import io.anvilvalve.api.peer.PlacementMessage
import io.anvilvalve.api.routing.ServiceSpec
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** A request of the host [from] that this host, as coordinator, places for it. */
internal class RemoteRequest(
    val from: Member,
    message: PlacementMessage.Request,
    override val service: ServiceSpec,
    now: Duration,
    override val streamVersion: String? = message.version,
) : QueuedRequest {
    val number: Long = message.number
    val need = PlacementNeed(
        service,
        message.memoryTokens,
        message.promptTokens,
        message.avoided.toSet(),
        from.dataCentre,
        message.regions.toSet(),
        message.costPercent / PERCENT,
        isOwn = false,
        version = streamVersion,
    )
    override val routeName: String = message.route
    override val organisationId: OrganisationId? = message.organisation
    override val allowedRegions: Set<RegionId> get() = need.allowedRegions
    override val deadlineAt: Duration = now + message.deadlineMillis.milliseconds
    override val patienceEndsAt: Duration = now + message.patienceMillis.milliseconds
    override val promptTokens: Int get() = need.promptTokens
    override val restriction = Restriction(need.allowedRegions, need.avoided)
    override val urgency: Int = message.urgency
    override val waitingSince: Duration = now - message.waitedMillis.milliseconds
    override val arrivedAt: Duration get() = waitingSince
    override val firstTriedAt: Duration = now - message.agedMillis.milliseconds
    override val objectiveAt: Duration = now + message.objectiveMillis.milliseconds
    override val isCallerRetry: Boolean = message.returned
    override val memoryTokens: Int get() = need.memoryTokens
    override val isDelegated: Boolean get() = false
    override var queueNumber: Long = 0

    private companion object {
        const val PERCENT = 100.0
    }
}
