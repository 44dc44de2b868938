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
 * Answers of engines are measured by expected output token, those of plain services by call.
 */
internal class AnswerTimes {
    /** Mean and mean absolute deviation of the latest samples, in milliseconds. */
    private class Estimate(var mean: Double, var deviation: Double)

    private val estimates = HashMap<ServiceId, Estimate>()

    /** Records that the answer of [request] was complete [elapsed] after its servers had been selected. */
    fun record(request: LiveRequest, elapsed: Duration) {
        val sample = elapsed.toDouble(DurationUnit.MILLISECONDS) / unitsOf(request)
        val estimate = estimateFor(request)
        estimate.deviation += SAMPLE_WEIGHT * (abs(sample - estimate.mean) - estimate.deviation)
        estimate.mean += SAMPLE_WEIGHT * (sample - estimate.mean)
    }

    /**
     * Time within which the answer of [request] is likely to be complete: the mean, and two mean absolute deviations
     * more if the estimate must be [cautious].
     */
    fun expected(request: LiveRequest, cautious: Boolean): Duration {
        val estimate = estimateFor(request)
        val margin = if (cautious) CAUTIOUS_DEVIATIONS * estimate.deviation else 0.0
        return ((estimate.mean + margin) * unitsOf(request)).toLong().milliseconds
    }

    private fun estimateFor(request: LiveRequest) = estimates.getOrPut(request.service.id) {
        val mean = if (request.service.engine == null) FIRST_CALL_MILLIS else FIRST_TOKEN_MILLIS
        Estimate(mean, mean / 2)
    }

    private fun unitsOf(request: LiveRequest) =
        if (request.service.engine == null) 1 else request.expectedOutputTokens.coerceAtLeast(1)

    private companion object {
        const val SAMPLE_WEIGHT = 0.1
        const val CAUTIOUS_DEVIATIONS = 2

        /** Used until answers have been measured. */
        const val FIRST_CALL_MILLIS = 100.0
        const val FIRST_TOKEN_MILLIS = 50.0
    }
}
