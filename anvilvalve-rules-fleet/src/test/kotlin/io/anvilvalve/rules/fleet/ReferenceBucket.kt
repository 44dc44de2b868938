package io.anvilvalve.rules.fleet

import io.anvilvalve.api.release.Organisation
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Single token bucket. It admits a history if and only if no interval uses more than burst + rate * length. */
internal class ReferenceBucket(private val organisation: Organisation) {
    private var level = organisation.burst.toDouble()
    private var last = Duration.ZERO

    /** Takes [tokens] at [at]; returns by how many tokens the level falls below zero, or null if it does not. */
    fun take(tokens: Long, at: Duration): Double? {
        level =
            minOf(organisation.burst.toDouble(), level + organisation.rate * (at - last).toDouble(DurationUnit.SECONDS))
        last = at
        level -= tokens
        return (-level).takeIf { it > ROUNDING }
    }

    private companion object {
        const val ROUNDING = 1e-6
    }
}
