package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.OrganisationId
import java.util.TreeMap
import kotlin.time.Duration

/** Waiting requests of one service: by urgency, and within an urgency in the [FairOrder] over organisations. */
internal class FairQueue(private val weightOf: (OrganisationId?) -> Double) {
    private val levels = TreeMap<Int, FairOrder>()
    private val entries = HashMap<QueuedRequest, QueueEntry>()

    val size: Int get() = entries.size

    /** Sum of the work of all entries. */
    val work: Long get() = levels.values.sumOf { it.work }

    /** Waiting requests, in no particular order. */
    val requests: Set<QueuedRequest> get() = entries.keys

    fun add(entry: QueueEntry, now: Duration) {
        entries[entry.request] = entry
        level(entry.request).add(entry, now)
    }

    /** Removes [request]; returns whether it was queued here. */
    fun remove(request: QueuedRequest): Boolean {
        val entry = entries.remove(request) ?: return false
        level(request).remove(entry)
        return true
    }

    /** Removes [entry], which has been placed at [now], and charges its organisation. */
    fun placed(entry: QueueEntry, now: Duration) {
        entries.remove(entry.request)
        level(entry.request).placed(entry, now)
    }

    /** See [OrganisationQueue.keepTurn]. */
    fun keepTurn(entry: QueueEntry) = level(entry.request).keepTurn(entry)

    operator fun get(request: QueuedRequest): QueueEntry? = entries[request]

    /** The entry to place next at [now]; null if there is none. */
    fun head(now: Duration): QueueEntry? = levels.values.firstNotNullOfOrNull { it.head(now) }

    /** The next entry of every organisation, of the most urgent requests that wait. */
    fun heads(now: Duration): Sequence<QueueEntry> =
        levels.values.firstOrNull { !it.isEmpty }?.heads(now) ?: emptySequence()

    /** All entries in the order in which they are placed if none is added; must not be used after a change. */
    fun inOrder(now: Duration): Sequence<QueueEntry> = levels.values.asSequence().flatMap { it.inOrder(now) }

    /** Work that is placed before [entry], which need not be queued. */
    fun workBefore(entry: QueueEntry, now: Duration): Long {
        val urgency = entry.request.urgency
        return workAbove(urgency) + (levels[urgency]?.workBefore(entry, now) ?: 0)
    }

    /** As [workBefore], if [entry] of a returned caller went before the requests of all callers that are new. */
    fun returnedWorkBefore(entry: QueueEntry): Long {
        val urgency = entry.request.urgency
        return workAbove(urgency) + (levels[urgency]?.returnedWorkBefore(entry) ?: 0)
    }

    /** See [FairOrder.workBeforeNewcomer]. */
    fun workBeforeNewcomer(request: QueuedRequest, now: Duration): Long? =
        levels[request.urgency]?.workBeforeNewcomer(request, now)?.let { workAbove(request.urgency) + it }

    /** See [FairOrder.delayFactor]. */
    fun delayFactor(entry: QueueEntry, now: Duration): Double =
        levels[entry.request.urgency]?.delayFactor(entry, now) ?: 1.0

    /** Sets the late [entries] that would miss their limits if they still waited for all others. */
    fun setLateDue(entries: List<QueueEntry>, now: Duration) {
        val organisations = entries.groupBy({ it.request.urgency }, { it.request.organisationId })
        levels.forEach { (urgency, order) -> order.setLateDue(organisations[urgency].orEmpty().toSet(), now) }
    }

    /** See [FairOrder.promise]. */
    fun promise(request: QueuedRequest, work: Int, unit: Duration, now: Duration): Duration =
        unit * workAbove(request.urgency).toDouble() + level(request).promise(request.organisationId, work, unit, now)

    /** Part of the work recently placed at the urgency of [request] that was for its organisation. */
    fun share(request: QueuedRequest, now: Duration): Double =
        levels[request.urgency]?.share(request.organisationId, now) ?: 0.0

    /** Forgets organisations whose past makes no difference any more. */
    fun forgetIdle(now: Duration) = levels.values.forEach { it.forgetIdle(now) }

    private fun workAbove(urgency: Int) = levels.headMap(urgency).values.sumOf { it.work }

    private fun level(request: QueuedRequest) = levels.getOrPut(request.urgency) { FairOrder(weightOf) }
}
