package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.OrganisationId
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Decides which of the requests that wait for one service is next, which may wait, and which are refused.
 *
 * Requests that a coordinator has been asked to place take no part in the order. In all functions, `unit` is the time
 * that the whole service takes for one unit of work; it is infinite if no server can be used.
 */
internal class ServiceQueue(private val limits: WaitLimits, weightOf: (OrganisationId?) -> Double) {
    /** Requests that are new or that a coordinator has been asked to place. */
    private val unsorted = LinkedHashSet<QueuedRequest>()
    private val fair = FairQueue(weightOf)

    val isEmpty: Boolean get() = unsorted.isEmpty() && fair.size == 0

    /** Number of requests in the order. */
    val size: Int get() = fair.size

    /** Work of the requests in the order. */
    val work: Long get() = fair.work

    /** All requests that no coordinator has been asked to place. */
    val undelegated: List<QueuedRequest> get() = (fair.requests + unsorted).filterNot { it.isDelegated }

    fun add(request: QueuedRequest) {
        unsorted.add(request)
    }

    /** Removes [request]; returns whether it waited here. */
    fun remove(request: QueuedRequest): Boolean = unsorted.remove(request) || fair.remove(request)

    /** Takes new requests, and those that no coordinator places any more, into the order. */
    fun sort(now: Duration) {
        if (unsorted.isEmpty()) return
        val new = unsorted.filterNot { it.isDelegated }
        new.forEach { fair.add(createEntry(it), now) }
        unsorted.removeAll(new.toSet())
    }

    /** The entry to place next at [now]; null if there is none. */
    fun head(now: Duration): QueueEntry? {
        while (true) {
            val entry = fair.head(now) ?: return null
            if (!entry.request.isDelegated) return entry
            fair.remove(entry.request)
            unsorted.add(entry.request)
        }
    }

    /** The next entry of every organisation, of the most urgent requests that wait. */
    fun heads(now: Duration): Sequence<QueueEntry> = fair.heads(now)

    /** All entries in the order in which they are placed if none is added; must not be used after a change. */
    fun inOrder(now: Duration): Sequence<QueueEntry> = fair.inOrder(now).filterNot { it.request.isDelegated }

    /** Records that [entry] has been placed at [now]. */
    fun placed(entry: QueueEntry, now: Duration) = fair.placed(entry, now)

    /** See [OrganisationQueue.keepTurn]. */
    fun keepTurn(entry: QueueEntry) = fair.keepTurn(entry)

    /** The entry of [request], which need not be queued. */
    fun entry(request: QueuedRequest): QueueEntry = fair[request] ?: createEntry(request)

    /**
     * Expected time until [request] is placed: the time for what precedes it in the order, and for itself. A caller
     * that has come back is placed sooner if that is the only way to serve it in time, see [FairOrder.LAST_CALL_SHARE].
     */
    fun expectedWait(request: QueuedRequest, unit: Duration, now: Duration): Duration {
        val entry = entry(request)
        val turn = unit * (fair.workBefore(entry, now) + entry.work).toDouble()
        if (!request.isCallerRetry) return turn
        return minOf(turn, lastCall(fair.returnedWorkBefore(entry) + entry.work, unit))
    }

    /** Whether [request] can be expected to be placed within its limits. */
    fun mayWait(request: QueuedRequest, unit: Duration, now: Duration): Boolean =
        now + expectedWait(request, unit, now) <= entry(request).latestStartAt

    /**
     * The queued requests whose turn comes too late; what is found too late delays none of the others. Late requests that
     * would soon be among them are due from now on, see [OrganisationQueue.isLateDue].
     */
    fun tooLate(unit: Duration, now: Duration): List<QueuedRequest> {
        fair.forgetIdle(now)
        val found = ArrayList<QueuedRequest>()
        val due = ArrayList<QueueEntry>()
        var ahead = 0L
        var returnedAhead = 0L
        for (entry in inOrder(now)) {
            val isReturned = entry.request.isCallerRetry
            val turn = unit * ((ahead + entry.work) * fair.delayFactor(entry, now))
            val wait = if (isReturned) minOf(turn, lastCall(returnedAhead + entry.work, unit)) else turn
            if (now + wait > entry.latestStartAt) {
                found += entry.request
            } else {
                if (isLateDue(entry, unit * (ahead + entry.work).toDouble(), now)) due += entry
                ahead += entry.work
                if (isReturned) returnedAhead += entry.work
            }
        }
        fair.setLateDue(due, now)
        return found
    }

    /** Decides with which wait and for which reason [request] is refused, and reserves a later turn for its caller. */
    fun refusal(request: QueuedRequest, unit: Duration, now: Duration): Refusal {
        if (unit.isInfinite()) return Refusal(Placement.NEVER, RefusalReason.NO_SERVER)
        val entry = entry(request)
        val wait = fair.promise(request, entry.work, unit, now)
        return Refusal(wait, reason(entry, unit, now), fair.share(request, now))
    }

    private fun reason(entry: QueueEntry, unit: Duration, now: Duration): RefusalReason {
        val newcomer = fair.workBeforeNewcomer(entry.request, now)
        val couldServeOthers = newcomer != null && now + unit * newcomer.toDouble() <= entry.latestStartAt
        return when {
            couldServeOthers -> RefusalReason.SHARE
            entry.request.patienceEndsAt < entry.request.deadlineAt -> RefusalReason.PATIENCE
            else -> RefusalReason.DEADLINE
        }
    }

    private fun isLateDue(entry: QueueEntry, turn: Duration, now: Duration): Boolean {
        if (entry.request.isCallerRetry || entry.lateAt > now) return false
        return now + turn / OrganisationQueue.LATE_SHARE + DUE_TIME > entry.latestStartAt
    }

    private fun lastCall(work: Long, unit: Duration) = unit * (work / FairOrder.LAST_CALL_SHARE)

    private fun createEntry(request: QueuedRequest) = QueueEntry(
        request,
        if (request.service.engine == null) 1 else request.memoryTokens.coerceAtLeast(1),
        limits.objectiveLimit(request),
        limits.latestStart(request),
    )

    private companion object {
        /**
         * Late requests are due this long before their turn would come too late. The rates of arrival change while they
         * wait; with 250 ms some were refused when their callers had no time left for another attempt.
         */
        val DUE_TIME = 400.milliseconds
    }
}
