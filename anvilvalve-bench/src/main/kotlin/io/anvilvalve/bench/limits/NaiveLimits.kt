package io.anvilvalve.bench.limits

import io.anvilvalve.api.Reducer
import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.result.ResultCode
import io.anvilvalve.rules.fleet.FleetEffect
import io.anvilvalve.rules.fleet.FleetEvent
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** Static split: each of the [hosts] hosts refills its equal part of every limit, without messages between hosts. */
internal class NaiveLimits(private val hosts: Int) : Reducer<FleetEvent, FleetEffect> {
    private class Bucket(val rate: Double, val burst: Double) {
        var level = 0.0
        var lastRefill = Duration.ZERO

        fun refill(now: Duration) {
            level = minOf(burst, level + rate * (now - lastRefill).toDouble(DurationUnit.SECONDS))
            lastRefill = now
        }
    }

    private val buckets = HashMap<OrganisationId, Bucket>()
    private val admitted = HashMap<RequestId, FleetEvent.Admit>()

    override fun reduce(event: FleetEvent, now: Duration): List<FleetEffect> {
        buckets.values.forEach { it.refill(now) }
        return when (event) {
            is FleetEvent.LimitsChanged -> {
                event.organisations.forEach {
                    buckets[it.id] = Bucket(it.rate.toDouble() / hosts, it.burst.toDouble() / hosts)
                }
                listOf(FleetEffect.CurrentChanged(true))
            }

            is FleetEvent.Admit -> listOf(admit(event))

            is FleetEvent.Settle -> {
                admitted.remove(event.id)?.let { request ->
                    buckets.getValue(request.organisation)
                        .run { level = minOf(burst, level + request.tokens - event.used) }
                }
                emptyList()
            }

            else -> emptyList()
        }
    }

    private fun admit(request: FleetEvent.Admit): FleetEffect {
        val bucket = buckets.getValue(request.organisation)
        if (bucket.level < request.tokens) return FleetEffect.Refused(request.id, ResultCode.RATE_EXCEEDED, 0)
        bucket.level -= request.tokens
        admitted[request.id] = request
        return FleetEffect.Admitted(request.id)
    }
}
