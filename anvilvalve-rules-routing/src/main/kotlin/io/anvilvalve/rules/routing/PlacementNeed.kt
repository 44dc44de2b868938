package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.routing.Backend
import io.anvilvalve.api.routing.ServiceSpec

/**
 * What a request needs from a backend server of [service].
 *
 * @property promptTokens prompt tokens to prefill; 0 if no prefill is needed.
 * @property avoided servers that must not be selected.
 */
internal class PlacementNeed(
    val service: ServiceSpec,
    val memoryTokens: Int,
    val promptTokens: Int,
    val avoided: Set<BackendServerId>,
)

/**
 * Servers selected for a request; without [prefill], [server] processes the prompt itself.
 *
 * @property tokensAhead prompt tokens queued at [prefill] ahead of this prompt.
 */
internal class SelectedServers(val server: Backend, val prefill: Backend? = null, val tokensAhead: Int = 0)
