package io.anvilvalve.rules.scheduling

import io.anvilvalve.api.id.OrganisationId
import java.util.TreeSet

/** Start-time fair queueing: the organisation whose first work has the lowest start tag is served next. */
internal class FairLanes {
    private val lanes = HashMap<OrganisationId, Lane>()
    private val backlogged = TreeSet<Lane>(compareBy({ it.headTag }, { it.number }))
    private var virtualTime = 0.0
    private var laneCount = 0L

    var size = 0
        private set

    fun waiting(organisation: OrganisationId): Int = lanes[organisation]?.works?.size ?: 0

    fun add(work: Work) {
        if (lanes.size > MAX_IDLE_LANES) lanes.values.removeIf { it.works.isEmpty() && it.finishTag <= virtualTime }
        val lane = lanes.getOrPut(work.item.organisation) { Lane(laneCount++) }
        work.startTag = maxOf(virtualTime, lane.finishTag)
        lane.finishTag = work.startTag + work.cost
        lane.works.addLast(work)
        size++
        if (lane.works.size == 1) enter(lane)
    }

    fun remove(work: Work) {
        val lane = lanes[work.item.organisation] ?: return
        if (lane.works.isEmpty()) return
        backlogged.remove(lane)
        if (lane.works.remove(work)) size--
        if (lane.works.isNotEmpty()) enter(lane)
    }

    /** Work with start tag [tag] goes into service. */
    fun advance(tag: Double) {
        virtualTime = maxOf(virtualTime, tag)
    }

    /** First work of each organisation by start tag; stale as soon as the lanes change. */
    fun heads(): Sequence<Work> = backlogged.asSequence().map { it.works.first() }

    private fun enter(lane: Lane) {
        lane.headTag = lane.works.first().startTag
        backlogged.add(lane)
    }

    private class Lane(val number: Long) {
        val works = ArrayDeque<Work>()
        var finishTag = 0.0
        var headTag = 0.0
    }

    private companion object {
        const val MAX_IDLE_LANES = 4_096
    }
}
