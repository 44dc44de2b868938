package io.anvilvalve.rules.routing

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.raise.ensure
import arrow.core.raise.ensureNotNull
import io.anvilvalve.api.result.LogEvent
import io.anvilvalve.api.result.ResultCode
import io.anvilvalve.api.routing.OrganisationRule
import io.anvilvalve.api.routing.RouteRule
import io.anvilvalve.api.routing.ServiceId
import io.anvilvalve.api.routing.ServiceSpec
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Admission checks of an arriving request. The first check that fails determines the result code. */
internal class RequestAdmission(
    private val out: Outbox,
    private val configuration: ConfigurationState,
    private val quotas: SharedQuotas,
    private val costs: CostModel,
    private val streams: StreamVersions,
    private val random: Random,
) {
    private class Refusal(
        val code: ResultCode,
        val retryAfter: Duration? = null,
        val organisation: OrganisationRule? = null,
        val cost: Int? = null,
    )

    /** Passes an admitted request to [accept] and refuses any other. */
    fun admit(request: InboundRequest, accept: (LiveRequest) -> Unit) =
        check(request).fold({ refuse(request, it) }, accept)

    private fun check(request: InboundRequest): Either<Refusal, LiveRequest> = either {
        ensure(configuration.current != null) { Refusal(ResultCode.NOT_READY, SHORT_RETRY_AFTER) }
        val route = ensureNotNull(configuration.route(request.host, request.path)) {
            Refusal(ResultCode.UNKNOWN_ROUTE)
        }
        val organisation = if (route.open) null else authenticate(request).bind()
        val service =
            ensureNotNull(
                chooseService(route, streams.streamOf(request, organisation?.id))?.let(configuration::service),
            ) {
                Refusal(ResultCode.NO_BACKEND_SERVER, SHORT_RETRY_AFTER)
            }
        val live = live(request, route, service, organisation)
        val engine = service.engine
        ensure(engine == null || live.maxTokens <= engine.memoryTokens) {
            Refusal(ResultCode.NO_BACKEND_SERVER, LONG_RETRY_AFTER)
        }
        if (organisation != null) {
            live.reservation = quotas.reserve(organisation, live.cost)
                .mapLeft { Refusal(ResultCode.RATE_EXCEEDED, it, organisation, live.cost) }
                .bind()
        }
        live
    }

    private fun live(
        request: InboundRequest,
        route: RouteRule,
        service: ServiceSpec,
        organisation: OrganisationRule?,
    ): LiveRequest {
        val output = costs.expectedOutput(
            service.id,
            route.name,
            organisation?.id,
            request.expectedTokens,
            request.outputTokens,
        )
        val costTokens = if (service.engine == null) 0 else output
        val costPercent = costs.costPercent(service.id, route.name, organisation?.id, costTokens)
        val version = configuration.current?.version
        return LiveRequest(request, route, service, organisation, out.now, version, output, costPercent)
    }

    /** If the configuration has no organisations, requests need no key. */
    private fun authenticate(request: InboundRequest): Either<Refusal, OrganisationRule?> = either {
        if (configuration.current?.organisations.isNullOrEmpty()) return@either null
        val key = ensureNotNull(request.key) { Refusal(ResultCode.KEY_MISSING) }
        ensureNotNull(configuration.owner(key)) { Refusal(ResultCode.KEY_INVALID) }
    }

    /** The service at which [stream] began, or one by weight; null if the route has no service. */
    private fun chooseService(route: RouteRule, stream: Long?): ServiceId? {
        if (route.targets.size <= 1) return route.targets.singleOrNull()?.service
        stream?.let(streams::serviceOf)?.takeIf { known ->
            route.targets.any { it.service == known }
        }?.let { return it }
        var remainingWeight = random.nextInt(route.targets.sumOf { it.weight }.coerceAtLeast(1))
        val chosen = route.targets.firstOrNull { target ->
            remainingWeight -= target.weight
            remainingWeight < 0
        }
        return (chosen ?: route.targets.first()).service
    }

    private fun refuse(request: InboundRequest, refusal: Refusal) {
        out.log(
            LogEvent.REQUEST_REFUSED,
            "request" to request.id,
            "result" to refusal.code.code,
            "configuration" to configuration.current?.version,
            "organisation" to refusal.organisation?.id,
            "cost" to refusal.cost,
            "used" to refusal.organisation?.let(quotas::used),
            "rate" to refusal.organisation?.ratePerSecond,
            "burst" to refusal.organisation?.burst,
            "retry_after_ms" to refusal.retryAfter?.inWholeMilliseconds,
            *if (refusal.organisation == null) emptyArray() else quotas.stateFields(),
        )
        out.emit(RoutingEffect.Refuse(request.id, refusal.code, refusal.retryAfter))
        out.emit(RoutingEffect.Measure(RequestOutcome(null, null, refusal.code, null, Duration.ZERO)))
    }

    private companion object {
        /** Another host can serve the caller by then, or this host once it has read the configuration. */
        val SHORT_RETRY_AFTER = 200.milliseconds
        val LONG_RETRY_AFTER = 3_000.milliseconds
    }
}
