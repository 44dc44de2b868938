package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.id.DataCentreId
import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.id.RegionId
import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.routing.Backend
import io.anvilvalve.api.routing.OrganisationRule
import io.anvilvalve.api.routing.RequestKind
import io.anvilvalve.api.routing.RouteRule
import io.anvilvalve.api.routing.ServiceSpec
import kotlin.time.Duration

/**
 * A caller's request from its admission to its end.
 *
 * @property expectedOutputTokens output tokens that the answer is expected to have.
 * @property costPercent expected cost in percent of the mean cost of a request to [service].
 */
internal class LiveRequest(
    val request: InboundRequest,
    val route: RouteRule,
    override val service: ServiceSpec,
    val organisation: OrganisationRule?,
    override val arrivedAt: Duration,
    val configurationVersion: Long? = null,
    val expectedOutputTokens: Int = request.expectedTokens ?: defaultOutputTokens(request),
    val costPercent: Int = USUAL_PERCENT,
) : QueuedRequest {
    enum class Phase { QUEUED, PREFILL, SENT }

    val id: RequestId get() = request.id

    override val routeName: String get() = route.name

    override val organisationId: OrganisationId? get() = organisation?.id

    /** Where both the route and the organisation limit the regions, both limits apply. */
    override val allowedRegions: Set<RegionId> =
        commonRegions(route.allowedRegions, organisation?.allowedRegions.orEmpty())

    /** Time by which the answer must be complete. */
    override val deadlineAt: Duration = arrivedAt + minOf(request.deadline ?: route.timeout, route.timeout)

    override val firstTriedAt: Duration = deadlineAt - route.timeout

    override val objectiveAt: Duration = arrivedAt + route.objective

    override val waitingSince: Duration get() = maxOf(arrivedAt, sentAt)

    /** Time of the latest return to the queue after a call; null before the first. */
    var requeuedAt: Duration? = null

    /** Time of the first call to a backend server; null before it. */
    var placedAt: Duration? = null

    private val patience = CallerPatience.of(route)

    override val patienceEndsAt: Duration
        get() = (requeuedAt?.takeIf { startedAt != null } ?: arrivedAt) + patience

    override val restriction: Restriction get() = Restriction(allowedRegions, triedServers)

    /** A caller with less time than the route allows is retrying, and may give up after another refusal. */
    override val isCallerRetry: Boolean =
        (request.deadline ?: route.timeout) < route.timeout * FIRST_TRY_SHARE

    override val promptTokens: Int = request.promptTokens ?: organisation?.tokensWithoutUsage ?: 0

    /** Tokens counted against the organisation's quota. */
    val cost: Int = when {
        organisation?.countsTokens == false -> 1
        request.promptTokens == null -> organisation?.tokensWithoutUsage ?: 0
        else -> sum(request.promptTokens, request.outputTokens)
    }

    /** Tokens reserved in the quota of the organisation; null if it has no limit. */
    var reservation: QuotaReservation? = null

    /** Software version of the server that began the stream; null if no event has been relayed and none is known. */
    override var streamVersion: String? = null

    /** Whether the caller goes on with a stream that broke off. */
    val isTakenUp: Boolean = route.kind == RequestKind.STREAM && route.resumable && request.resumption != null

    /** Whether the request may be sent only once a coordinator knows which version began its stream. */
    val needsStreamVersion: Boolean get() = isTakenUp && streamVersion == null

    /** Whether the coordinator that counts for all hosts has found [reservation] within the quota. */
    var isQuotaConfirmed = false

    /** Maximum memory in tokens that the request can need at an engine. */
    val maxTokens: Int = sum(promptTokens, request.outputTokens)

    /** Output tokens generated so far. */
    var generatedTokens = 0

    /** Memory in tokens currently reserved at [server]. */
    var reservedTokens = 0

    /**
     * Memory in tokens to reserve at an engine: the tokens that the request already has, and a part of those that it is
     * expected to generate.
     *
     * Requests at one engine end at different times, so they do not all need their maximum at once.
     */
    override val memoryTokens: Int
        get() {
            val expected = expectedOutputTokens
            val remaining =
                maxOf(expected - generatedTokens, expected / MIN_REMAINING_DIVISOR).coerceAtMost(request.outputTokens)
            val need = sum(promptTokens, generatedTokens, (remaining * RESERVED_SHARE).toInt(), BLOCK_TOKENS - 1)
            return need / BLOCK_TOKENS * BLOCK_TOKENS
        }

    var phase = Phase.QUEUED

    override var queueNumber = 0L

    /** The question to a coordinator where to place the request; null if none is open. */
    var delegation: Delegation? = null

    override val isDelegated: Boolean get() = delegation != null

    /** Capacity that a coordinator has granted for the current call to a plain service; null if there is none. */
    var granted: GrantedCapacity? = null

    /** Number of coordinators that did not answer where to place the request. */
    var unansweredQuestions = 0

    /** Number of the latest call to a backend server. */
    var attempt = 0

    /** Calls that a backend server may have executed. */
    var runs = 0

    /** Calls sent to a backend server for execution; prefill calls are not included. */
    var forwards = 0
    var prefills = 0
    var notExecutedCalls = 0
    val triedServers = HashSet<BackendServerId>()

    /** Reason for the latest failed call; null if no call has failed. */
    var lastReason: String? = null

    /** Server of the latest call, at which capacity is reserved for the request. */
    var server: Backend? = null
    var prefillServer: Backend? = null
    var sentAt = Duration.ZERO
    var startedAt: Duration? = null

    /** Expected time of the latest call to [server], as of its start. */
    var expectedFinish: ExpectedFinish? = null

    /** Whether the answer of the latest attempt that started one has neither a length nor chunks. */
    var answerEndsWithConnection = false

    /** Prefill result that no engine has fetched yet. An engine can fetch it until [sourceExpiresAt]. */
    var source: PrefillSource? = null
    var sourceExpiresAt = Duration.ZERO

    /** Prompt tokens queued at the prefill server ahead of this prompt. */
    var tokensAhead = 0

    val isStream: Boolean get() = route.kind == RequestKind.STREAM

    /** Whether no server can have executed the request. */
    val isUntouched: Boolean get() = runs == 0 && startedAt == null

    /** Whether a server may have executed the request, or may do so at present. */
    val mayHaveRun: Boolean get() = runs > 0 || phase == Phase.SENT

    /** What the request needs from a backend server at [now]; this host is in [dataCentre]. */
    fun need(dataCentre: DataCentreId, now: Duration) = PlacementNeed(
        service,
        memoryTokens,
        if (sourceAt(now) != null) 0 else promptTokens,
        triedServers,
        dataCentre,
        allowedRegions,
        costPercent / PERCENT,
        version = streamVersion,
    )

    /** The prefill result if an engine can still fetch it at [now]. */
    fun sourceAt(now: Duration): PrefillSource? = source?.takeIf { now < sourceExpiresAt }

    override val urgency: Int get() = (organisation?.priority ?: route.priority).coerceIn(0, LEAST_URGENT)

    private companion object {
        /** Regions that both limits allow; an empty limit allows all. */
        fun commonRegions(route: Set<RegionId>, organisation: Set<RegionId>): Set<RegionId> = when {
            route.isEmpty() -> organisation
            organisation.isEmpty() -> route
            else -> (route intersect organisation).ifEmpty { setOf(NO_REGION) }
        }

        /** Sum of counts that callers claim; the largest number instead of an overflow. */
        fun sum(vararg counts: Int): Int = counts.sumOf { it.toLong() }.coerceAtMost(Int.MAX_VALUE.toLong()).toInt()

        /** No region has this id, so a limit to it allows none. */
        val NO_REGION = RegionId("")

        /** Engines allocate memory in blocks of this many tokens. */
        const val BLOCK_TOKENS = 16

        fun defaultOutputTokens(request: InboundRequest) =
            (request.outputTokens * CostModel.DEFAULT_OUTPUT_SHARE).toInt()

        const val USUAL_PERCENT = 100
        const val PERCENT = 100.0

        /** Share of the expected remaining tokens for which memory is reserved. */
        const val RESERVED_SHARE = 0.65

        /** An answer that exceeds its expected length is assumed to need another 1/8 of that length. */
        const val MIN_REMAINING_DIVISOR = 8
        const val LEAST_URGENT = 9
        const val FIRST_TRY_SHARE = 0.97
    }
}
