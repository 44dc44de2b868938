package io.anvilvalve.rules.scheduling

/**
 * Servers of a pool that may have capacity now; selected once for all waiting work, because most servers are full.
 */
internal class AvailableServers(val prefills: List<ServerState>, val decodes: List<ServerState>) {
    /** Maximum number of waiting requests to try per placement; bounds the time per event in large pools. */
    val candidateLimit: Int get() = (MAX_EVALUATIONS / (prefills.size + decodes.size + 1)).coerceIn(1, MAX_CANDIDATES)

    private companion object {
        const val MAX_CANDIDATES = 4
        const val MAX_EVALUATIONS = 600
    }
}
