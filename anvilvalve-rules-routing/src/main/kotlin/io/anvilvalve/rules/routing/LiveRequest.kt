package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.routing.Backend
import io.anvilvalve.api.routing.OrganisationRule
import io.anvilvalve.api.routing.RouteRule
import io.anvilvalve.api.routing.ServiceSpec
import kotlin.time.Duration

/** One open request of a caller. */
internal class LiveRequest(
    val request: InboundRequest,
    val route: RouteRule,
    val service: ServiceSpec,
    val organisation: OrganisationRule?,
    val arrivedAt: Duration,
    val configurationVersion: Long? = null,
) {
    enum class Stage { QUEUED, PREFILL, SENT }

    val id: RequestId get() = request.id

    /** Time by which the answer has to have ended. */
    val deadlineAt: Duration = arrivedAt + minOf(request.deadline ?: route.timeout, route.timeout)

    /** Time by which the caller wants the answer, or its first event. */
    val objectiveAt: Duration = arrivedAt + route.objective

    val promptTokens: Int = request.promptTokens ?: organisation?.tokensWithoutUsage ?: 0

    /** Tokens that the request counts against the organisation's quota. */
    val cost: Int = when {
        organisation?.countsTokens == false -> 1
        request.promptTokens == null -> organisation?.tokensWithoutUsage ?: 0
        else -> request.promptTokens + request.outputTokens
    }

    /** Most memory that the request can need at an engine. */
    val maxTokens: Int = promptTokens + request.outputTokens

    /** Tokens of the answer so far. */
    var generatedTokens = 0

    /** Memory that is held for the request at its server now. */
    var reservedTokens = 0

    /**
     * Memory to set aside at an engine: what the request has, and a part of what it is expected to need yet.
     *
     * Requests of one engine end at different times, so that they do not need their most at the same time.
     */
    val memoryTokens: Int
        get() {
            val expected = request.expectedTokens ?: (request.outputTokens * EXPECTED_OUTPUT_SHARE).toInt()
            val remaining =
                maxOf(expected - generatedTokens, expected / MIN_REMAINING_DIVISOR).coerceAtMost(request.outputTokens)
            val need = promptTokens + generatedTokens + (remaining * RESERVED_SHARE).toInt()
            return (need + BLOCK_TOKENS - 1) / BLOCK_TOKENS * BLOCK_TOKENS
        }

    var stage = Stage.QUEUED

    /** Tells the waiting requests of this host apart. */
    var queueNumber = 0L

    /** Number of the last call to a backend server. */
    var attempt = 0

    /** Calls that a backend server may have run. */
    var runs = 0

    /** Calls that arrived at a backend server, without the first prefill. */
    var arrivals = 0
    var prefills = 0
    var refusals = 0
    val triedServers = HashSet<BackendServerId>()

    /** Why the last call failed; null when none has. */
    var lastReason: String? = null

    /** Server of the last call, on which a place is held. */
    var server: Backend? = null
    var prefillServer: Backend? = null
    var sentAt = Duration.ZERO
    var startedAt: Duration? = null

    /** Result of the prefill that no engine has fetched yet, and the time until which one can. */
    var source: PrefillSource? = null
    var sourceExpiresAt = Duration.ZERO

    /** Tokens that wait at the prefill server before this prompt. */
    var tokensAhead = 0

    val urgency: Int get() = (organisation?.priority ?: route.priority).coerceIn(0, LEAST_URGENT)

    private companion object {
        /** Engines hand out memory in blocks of this many tokens. */
        const val BLOCK_TOKENS = 16

        /** Answers are about half as long as they may be. */
        const val EXPECTED_OUTPUT_SHARE = 0.55

        /** Part of the expected rest of an answer that is set aside. */
        const val RESERVED_SHARE = 0.65

        /** An answer that is longer than expected is expected to need this fraction more. */
        const val MIN_REMAINING_DIVISOR = 8
        const val LEAST_URGENT = 9
    }
}
