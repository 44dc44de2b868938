package io.anvilvalve.rules.routing

import io.anvilvalve.api.routing.ServiceId
import io.anvilvalve.api.routing.ServiceSpec
import io.anvilvalve.api.routing.Stage
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Service times as measured at the servers that can be used; the means are computed once in [REFRESH_INTERVAL]. */
internal class MeasuredTimes(private val out: Outbox, private val placement: Placement) : ServiceTimes {
    private class Means(val at: Duration, val answer: Duration, val promptThousand: Duration, val backlog: Duration)

    private val means = HashMap<ServiceId, Means>()

    override fun start(request: QueuedRequest): Duration {
        val means = means(request.service)
        if (request.service.engine == null) return means.answer
        return means.backlog + means.promptThousand * (request.promptTokens / TOKENS_PER_UNIT)
    }

    override fun answer(request: QueuedRequest): Duration = means(request.service).answer

    private fun means(service: ServiceSpec): Means {
        val known = means[service.id]
        if (known != null && out.now - known.at < REFRESH_INTERVAL) return known
        return measure(service).also { means[service.id] = it }
    }

    private fun measure(service: ServiceSpec) = Means(
        out.now,
        placement.capacity.meanServiceTime(service),
        placement.capacity.meanPrefillTime(service),
        placement.capacity.prefillBacklog(service),
    )

    private companion object {
        /** Short compared with the time in which means over ten answers change. */
        val REFRESH_INTERVAL = 100.milliseconds
        const val TOKENS_PER_UNIT = 1_000.0
    }
}
