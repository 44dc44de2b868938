package io.anvilvalve.rules.scheduling

import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.peer.WorkClass
import java.util.PriorityQueue

/**
 * Waiting work of one model: start-time fair queueing over organisations within each class.
 *
 * Interactive work goes first. While it waits, batch work earns [batchShare] of the dispatched cost.
 */
internal class FairQueue(private val bound: Int, private val batchShare: Double) {
    private val interactive = FairLanes()
    private val batch = FairLanes()
    private val byLatestStart = PriorityQueue<Work>(compareBy { it.latestStart })
    private var batchCredit = 0.0

    val size: Int get() = interactive.size + batch.size

    /** Adds [work] unless its organisation has too much waiting. */
    fun offer(work: Work): Boolean {
        val lanes = lanes(work)
        if (lanes.waiting(work.item.organisation) >= bound) return false
        lanes.add(work)
        byLatestStart.add(work)
        return true
    }

    fun remove(work: Work) {
        lanes(work).remove(work)
        byLatestStart.remove(work)
    }

    /** Removes and charges [work], which was placed. */
    fun dispatch(work: Work) {
        lanes(work).advance(work.startTag)
        remove(work)
        if (work.item.workClass == WorkClass.BATCH) {
            batchCredit = (batchCredit - work.cost).coerceAtLeast(0.0)
        } else if (batch.size > 0) {
            batchCredit += work.cost * batchShare / (1 - batchShare)
        }
    }

    /** The first work of each organisation, in the order in which it should be placed. */
    fun candidates(): Sequence<Work> {
        val first = batch.heads().firstOrNull()
        val batchIsDue = first != null && batchCredit >= first.cost
        return if (batchIsDue) batch.heads() + interactive.heads() else interactive.heads() + batch.heads()
    }

    /** Removes work that can no longer meet its deadline. */
    fun takeLate(now: Long): List<Work> {
        if (byLatestStart.isEmpty() || byLatestStart.peek().latestStart >= now) return emptyList()
        val late = ArrayList<Work>()
        while (byLatestStart.isNotEmpty() && byLatestStart.peek().latestStart < now) {
            val work = byLatestStart.poll()
            lanes(work).remove(work)
            late.add(work)
        }
        return late
    }

    fun waiting(organisation: OrganisationId): Int = interactive.waiting(organisation) + batch.waiting(organisation)

    private fun lanes(work: Work): FairLanes = if (work.item.workClass == WorkClass.BATCH) batch else interactive
}
