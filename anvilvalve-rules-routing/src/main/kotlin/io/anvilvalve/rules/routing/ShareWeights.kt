package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.routing.OrganisationRule

/** Weights of the organisations in the fair shares: their rates relative to the mean, and 1 where no rate is set. */
internal class ShareWeights {
    private var weights: Map<OrganisationId, Double> = emptyMap()

    /** Takes the rates of [organisations]; rates in tokens and rates in requests are compared among themselves. */
    fun configure(organisations: List<OrganisationRule>) {
        weights = organisations.filter { it.ratePerSecond > 0 }.groupBy { it.countsTokens }.values
            .flatMap { rules ->
                val mean = rules.sumOf { it.ratePerSecond } / rules.size
                rules.map { it.id to (it.ratePerSecond / mean).coerceIn(LEAST, MOST) }
            }.toMap()
    }

    /** Weight of [organisation]; null stands for the callers of open routes. */
    fun of(organisation: OrganisationId?): Double = weights[organisation] ?: 1.0

    private companion object {
        /** Keeps one request of a small organisation from waiting for the whole queue of a large one. */
        const val LEAST = 0.05
        const val MOST = 20.0
    }
}
