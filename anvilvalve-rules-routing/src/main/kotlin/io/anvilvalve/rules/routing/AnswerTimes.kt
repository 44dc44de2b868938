package io.anvilvalve.rules.routing

import io.anvilvalve.api.routing.ServiceId
import kotlin.math.abs
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/**
 * Estimates how long an answer takes, so that a host that is about to stop refuses a request that it would have to cut
 * off.
 *
 * Answers of engines are measured by expected output token, those of plain services by call. Callers' estimates of the
 * length are right on average only, so the deviation is measured by answer.
 */
internal class AnswerTimes {
    /** Means of the latest answers; times in milliseconds. */
    private class Estimate(var millis: Double, var units: Double, var deviation: Double) {
        val perUnit: Double get() = millis / units
    }

    private val estimates = HashMap<ServiceId, Estimate>()

    /** Records that the answer of [request] was complete [elapsed] after the call that asked for it. */
    fun record(request: LiveRequest, elapsed: Duration) {
        val millis = elapsed.toDouble(DurationUnit.MILLISECONDS)
        val units = unitsOf(request)
        val estimate = estimates.getOrPut(request.service.id) { Estimate(millis, units, millis / 2) }
        estimate.deviation += SAMPLE_WEIGHT * (abs(millis - estimate.perUnit * units) - estimate.deviation)
        estimate.millis += SAMPLE_WEIGHT * (millis - estimate.millis)
        estimate.units += SAMPLE_WEIGHT * (units - estimate.units)
    }

    /**
     * Time within which the answer of [request] is likely to be complete: the mean, and two mean absolute deviations
     * more if the estimate must be [cautious]; zero while no answer of its service has been measured.
     */
    fun expected(request: LiveRequest, cautious: Boolean): Duration {
        val estimate = estimates[request.service.id] ?: return Duration.ZERO
        val margin = if (cautious) CAUTIOUS_DEVIATIONS * estimate.deviation else 0.0
        return (estimate.perUnit * unitsOf(request) + margin).toLong().milliseconds
    }

    private fun unitsOf(request: LiveRequest) =
        if (request.service.engine == null) 1.0 else request.expectedOutputTokens.coerceAtLeast(1).toDouble()

    private companion object {
        const val SAMPLE_WEIGHT = 0.1
        const val CAUTIOUS_DEVIATIONS = 2
    }
}
