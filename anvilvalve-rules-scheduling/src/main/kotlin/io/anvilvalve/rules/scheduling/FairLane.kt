package io.anvilvalve.rules.scheduling

import io.anvilvalve.api.peer.WorkClass

/**
 * Waiting work of one organisation. Interactive work is served first; while both classes wait, batch work gets
 * [batchShare] of the token cost.
 */
internal class FairLane(val number: Long, private val batchShare: Double, private val promptWeight: Double) {
    private val interactive = ArrayDeque<Work>()
    private val batch = ArrayDeque<Work>()

    /** Token cost up to which batch work is placed before waiting interactive work. */
    private var batchCredit = 0.0

    /** Moving average of the ratio of generated tokens to the requested maximum. */
    private var outputRatio = INITIAL_OUTPUT_RATIO

    /** Token cost charged to the organisation, on the scale of the queue's virtual time. */
    var tag = 0.0

    /** Sort key among the lanes; changed only while the lane is not in the queue's sorted set. */
    var rank = 0.0

    val isEmpty: Boolean get() = interactive.isEmpty() && batch.isEmpty()

    val isBatchNext: Boolean
        get() = batch.isNotEmpty() && (interactive.isEmpty() || batchCredit >= expectedCost(batch.first()))

    fun waiting(workClass: WorkClass): Int = queue(workClass).size

    fun next(): Work? = if (isBatchNext) batch.first() else interactive.firstOrNull()

    fun add(work: Work) = queue(work.item.workClass).addLast(work)

    fun remove(work: Work): Boolean {
        val queue = queue(work.item.workClass)
        if (queue.firstOrNull() !== work) return queue.remove(work)
        queue.removeFirst()
        return true
    }

    fun charge(work: Work) {
        work.charged = expectedCost(work)
        tag += work.charged
        if (work.item.workClass == WorkClass.BATCH) {
            batchCredit = (batchCredit - work.charged).coerceAtLeast(0.0)
        } else if (batch.isNotEmpty()) {
            batchCredit += work.charged * batchShare / (1 - batchShare)
        }
    }

    fun settle(work: Work, outputTokens: Int) {
        tag += work.item.promptTokens * promptWeight + outputTokens - work.charged
        val ratio = outputTokens.toDouble() / work.item.maxTokens.coerceAtLeast(1)
        outputRatio += OUTPUT_RATIO_GAIN * (ratio.coerceAtMost(1.0) - outputRatio)
    }

    private fun expectedCost(work: Work): Double =
        work.item.promptTokens * promptWeight + work.item.maxTokens * outputRatio

    private fun queue(workClass: WorkClass) = if (workClass == WorkClass.BATCH) batch else interactive

    private companion object {
        const val INITIAL_OUTPUT_RATIO = 0.5
        const val OUTPUT_RATIO_GAIN = 0.05
    }
}
