package io.anvilvalve.rules.scheduling

import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.id.HostId
import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.peer.PlacementOutcome

/** Output of the scheduler. */
sealed interface SchedulingEffect {
    /** Sends the placement or refusal of an attempt to [origin]. */
    data class Reply(val origin: HostId, val id: RequestId, val attempt: Int, val outcome: PlacementOutcome) :
        SchedulingEffect

    /** The circuit breaker of [server] opened or closed. */
    data class HealthChanged(val server: BackendServerId, val healthy: Boolean) : SchedulingEffect
}
