package io.anvilvalve.core

import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.release.Route
import io.anvilvalve.rules.release.ClaimRequest
import kotlin.time.Duration

/** State of one call to a plain service at the host that accepted it. */
internal class RunningCall(
    val request: ServiceRequest,
    val route: Route,
    val organisation: OrganisationId?,
    val arrivedAt: Duration,
) {
    enum class Stage {
        ADMISSION,
        CLAIM,
        SENT,
    }

    var stage = Stage.ADMISSION
    var charged = false
    var callerGone = false
    val triedServers = LinkedHashSet<BackendServerId>()

    fun claimRequest() = ClaimRequest(
        organisation = organisation ?: OPEN_ORGANISATION,
        route = route.id,
        idempotencyKey = checkNotNull(request.idempotencyKey),
        requestDigest = request.digest,
    )

    private companion object {
        /** Claims on open routes are stored under an empty name, which no organisation can have. */
        val OPEN_ORGANISATION = OrganisationId("")
    }
}
