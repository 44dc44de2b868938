package io.anvilvalve.rules.routing

import io.anvilvalve.api.result.LogEvent
import io.anvilvalve.api.result.ResultCode
import kotlin.math.roundToInt
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/** Completes admitted requests: answers refused callers, releases their quota, and logs and counts every outcome. */
internal class RequestCompletion(
    private val out: Outbox,
    private val quotas: SharedQuotas,
    private val configuration: ConfigurationState,
    random: Random,
) {
    private val returnTimes = ReturnTimes(random)

    /** Refuses [request], which was not executed, as [refusal] says, and states when to retry. */
    fun refuse(request: LiveRequest, code: ResultCode, refusal: Refusal) {
        request.reservation?.let(quotas::release)
        val retryAfter = returnTimes.after(refusal.wait, request.deadlineAt - out.now)
        out.log(
            LogEvent.REQUEST_REFUSED,
            *fields(request),
            "result" to code.code,
            "reason" to request.lastReason,
            "limit" to refusal.reason?.text,
            "expected_wait_ms" to refusal.wait.inWholeMilliseconds,
            "organisation_share" to refusal.share?.let { (it * PERCENT).roundToInt() / PERCENT },
            "caller_retry" to request.isCallerRetry,
            "retry_after_ms" to retryAfter.inWholeMilliseconds,
        )
        out.emit(RoutingEffect.Refuse(request.id, code, retryAfter))
        measure(request, code, refusal.reason)
    }

    /** Logs and counts the end of [request]: answered if [code] is null, otherwise failed with [code]. */
    fun finish(request: LiveRequest, code: ResultCode?) {
        val event = if (code == null) LogEvent.REQUEST_FINISHED else LogEvent.REQUEST_FAILED
        out.log(event, *fields(request), "result" to (code?.code ?: "ok"), "reason" to request.lastReason)
        measure(request, code)
    }

    private fun fields(request: LiveRequest): Array<Pair<String, Any?>> = arrayOf(
        "request" to request.id,
        "route" to request.route.name,
        "service" to request.service.id,
        "organisation" to request.organisation?.id,
        "configuration" to configuration.current?.version,
        "server" to request.triedServers.lastOrNull(),
        "calls" to request.attempt,
        "runs" to request.runs,
        "started_ms" to request.startedAt?.let { (it - request.arrivedAt).inWholeMilliseconds },
        "lasted_ms" to (out.now - request.arrivedAt).inWholeMilliseconds,
        "ends_with_connection" to request.answerEndsWithConnection,
        "shared_parts" to request.request.sharedParts.joinToString(" "),
    )

    private fun measure(request: LiveRequest, code: ResultCode?, refusal: RefusalReason? = null) = out.emit(
        RoutingEffect.Measure(
            RequestOutcome(
                route = request.route.name,
                organisation = request.organisation?.id,
                code = code,
                started = request.startedAt?.let { it - request.arrivedAt },
                lasted = out.now - request.arrivedAt,
                expected = request.expectedFinish?.totalMillis?.toLong()?.milliseconds,
                isFar = request.expectedFinish?.isFar == true,
                queued = (request.placedAt ?: out.now) - request.arrivedAt,
                refusal = refusal,
            ),
        ),
    )

    private companion object {
        const val PERCENT = 100.0
    }
}
