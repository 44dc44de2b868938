package io.anvilvalve.report

import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes

/** Burn over the last [SPAN] in steps of [STEP], oldest first; null for steps without answers. */
internal class BurnHistory(
    val fleet: Map<Target, List<Double?>>,
    private val byService: Map<ServiceKey, Map<Target, List<Double?>>>,
) {
    fun ofService(key: ServiceKey, target: Target): List<Double?> = byService[key]?.get(target).orEmpty()

    companion object {
        val SPAN = 6.hours
        val STEP = 5.minutes

        fun of(increases: List<Increase>, atMillis: Long): BurnHistory {
            val from = atMillis - SPAN.inWholeMilliseconds
            val recent = increases.filter { it.atMillis > from && it.atMillis <= atMillis }
            val byService = recent.groupBy { ServiceKey(it.key.organisation, it.key.model) }
            return BurnHistory(steps(recent, from), byService.mapValues { (_, group) -> steps(group, from) })
        }

        private fun steps(increases: List<Increase>, from: Long): Map<Target, List<Double?>> {
            val stepMillis = STEP.inWholeMilliseconds
            val byStep = increases.groupBy { (it.atMillis - from - 1) / stepMillis }
            val totals = (0 until SPAN.inWholeMilliseconds / stepMillis).map { Totals(byStep[it].orEmpty()) }
            return Target.entries.associateWith { target -> totals.map { it.burn(target) } }
        }
    }
}
