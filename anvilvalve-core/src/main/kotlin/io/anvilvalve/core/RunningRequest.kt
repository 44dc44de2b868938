package io.anvilvalve.core

import io.anvilvalve.api.id.DataCentreId
import io.anvilvalve.api.id.HostId
import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.peer.PlacementOutcome
import io.anvilvalve.api.port.KvHandle
import io.anvilvalve.api.result.ResultCode
import kotlin.time.Duration

/** State of one caller's request to a model at the host that accepted it. */
internal class RunningRequest(val request: ModelRequest, val organisation: OrganisationId, val arrivedAt: Duration) {
    enum class Stage {
        ADMISSION,
        PLACEMENT,
        PREFILL,
        DECODE,
    }

    var stage = Stage.ADMISSION
    var attempt = 0
    var owner: HostId? = null

    /** Data centre whose servers the request was submitted to; null means the whole fleet. */
    var group: DataCentreId? = null
    val triedGroups = HashSet<DataCentreId?>()
    var submittedAt = Duration.ZERO
    var stageSince = arrivedAt
    var placed: PlacementOutcome.Placed? = null
    var kv: KvHandle? = null

    /** Placement of the attempt whose prefill produced [kv]; a later attempt may use its result. */
    var kvPlacement: PlacementOutcome.Placed? = null
    var kvExpiresAt = Duration.ZERO
    var delivered = 0
    var firstTokenAt: Duration? = null

    /** Whether a prefill has been sent in any attempt; from then on the request may have run. */
    var prefillSent = false
    var prefillTokens = 0
    var wastedPrefillTokens = 0

    /** Tokens charged to the organisation at admission: the prompt and the requested maximum. */
    val chargedTokens: Long get() = (request.promptTokens + request.maxTokens).toLong()

    fun engineId(): String = "${request.id.value}.$attempt"

    fun enter(next: Stage, now: Duration) {
        stage = next
        stageSince = now
    }

    /** Metrics of the request if it ends at [now] with [code]; a null [code] means a complete answer. */
    fun summary(code: ResultCode?, now: Duration): RequestSummary {
        val gaps = delivered - 1
        return RequestSummary(
            organisation = organisation,
            model = request.model,
            workClass = request.workClass,
            code = code,
            tokens = delivered,
            firstToken = firstTokenAt?.let { it - arrivedAt },
            meanGap = firstTokenAt?.takeIf { gaps > 0 }?.let { (now - it) / gaps },
            prefillTokens = prefillTokens,
            wastedPrefillTokens = minOf(wastedPrefillTokens, prefillTokens),
            refusedWithinRate = code in REFUSALS_WITHIN_RATE,
        )
    }

    private companion object {
        val REFUSALS_WITHIN_RATE = setOf(
            ResultCode.TOKENS_UNAVAILABLE,
            ResultCode.QUEUE_FULL,
            ResultCode.DEADLINE_UNREACHABLE,
            ResultCode.NO_BACKEND_SERVER,
            ResultCode.NOT_CURRENT,
        )
    }
}
