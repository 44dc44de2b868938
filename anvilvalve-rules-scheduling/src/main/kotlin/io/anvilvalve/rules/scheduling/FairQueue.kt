package io.anvilvalve.rules.scheduling

import io.anvilvalve.api.id.OrganisationId
import java.util.PriorityQueue
import java.util.TreeSet
import kotlin.math.exp

/**
 * Queue of one model: start-time fair queueing over organisations by token cost.
 *
 * An organisation is charged for placed work, never for refused work. Batch work of an organisation yields to
 * interactive work of others until it is [SchedulingSettings.batchLag] behind at the pool's recent rate. Over time
 * every organisation therefore gets its share, whatever the classes of its work.
 */
internal class FairQueue(private val settings: SchedulingSettings) {
    private val lanes = HashMap<OrganisationId, FairLane>()
    private val backlogged = TreeSet<FairLane>(compareBy({ it.rank }, { it.number }))
    private val byLatestStart = PriorityQueue<Work>(compareBy { it.latestStart })
    private var virtualTime = 0.0
    private var laneCount = 0L

    /** Token cost of dispatched work; decays exponentially with the time constant [RATE_WINDOW_MICROS]. */
    private var recentCost = 0.0
    private var recentCostAt = 0L

    var size = 0
        private set

    /** Adds [work]; returns false when its organisation has reached [SchedulingSettings.queueBound] for its class. */
    fun offer(work: Work): Boolean {
        if (lanes.size > LANE_EVICTION_THRESHOLD) lanes.values.removeIf { it.isEmpty && it.tag <= virtualTime }
        val lane = lanes.getOrPut(work.item.organisation) { newLane() }
        if (lane.waiting(work.item.workClass) >= settings.queueBound) return false
        updateLane(lane) {
            if (it.isEmpty) it.tag = maxOf(it.tag, virtualTime)
            it.add(work)
        }
        byLatestStart.add(work)
        size++
        return true
    }

    fun remove(work: Work) {
        val lane = lanes[work.item.organisation] ?: return
        updateLane(lane) { if (it.remove(work)) size-- }
    }

    /** Removes the placed [work] from the queue and charges its expected cost to the organisation. */
    fun dispatch(work: Work, now: Long) {
        val lane = lanes.getValue(work.item.organisation)
        virtualTime = maxOf(virtualTime, lane.tag)
        updateLane(lane) {
            if (it.remove(work)) size--
            it.charge(work)
        }
        recentCost = recentCost * exp((recentCostAt - now) / RATE_WINDOW_MICROS) + work.charged
        recentCostAt = now
    }

    /** Replaces the expected cost charged for [work] by its actual cost with [outputTokens] generated tokens. */
    fun settle(work: Work, outputTokens: Int) {
        val lane = lanes[work.item.organisation] ?: return
        updateLane(lane) { it.settle(work, outputTokens) }
    }

    /** The next work of each organisation in the order of placement; invalid after any change of the queue. */
    fun candidates(): Sequence<Work> = backlogged.asSequence().mapNotNull { it.next() }

    /** Removes and returns the work that can no longer meet its deadline. */
    fun removeExpired(now: Long): List<Work> {
        if (byLatestStart.isEmpty() || byLatestStart.peek().latestStart >= now) return emptyList()
        val expired = ArrayList<Work>()
        while (byLatestStart.isNotEmpty() && byLatestStart.peek().latestStart < now) {
            val work = byLatestStart.poll()
            if (work.state != Work.State.QUEUED) continue
            remove(work)
            expired.add(work)
        }
        return expired
    }

    private fun newLane() = FairLane(laneCount++, settings.batchShare, settings.promptWeight)

    private inline fun updateLane(lane: FairLane, action: (FairLane) -> Unit) {
        backlogged.remove(lane)
        action(lane)
        if (lane.isEmpty) return
        val lag = recentCost / RATE_WINDOW_MICROS * settings.batchLag.inWholeMicroseconds
        lane.rank = if (lane.isBatchNext) lane.tag + lag else lane.tag
        backlogged.add(lane)
    }

    private companion object {
        const val RATE_WINDOW_MICROS = 10_000_000.0

        /** Number of lanes above which empty lanes are evicted whose tag is not ahead of the virtual time. */
        const val LANE_EVICTION_THRESHOLD = 4_096
    }
}
