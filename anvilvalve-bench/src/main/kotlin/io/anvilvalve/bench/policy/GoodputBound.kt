package io.anvilvalve.bench.policy

import io.anvilvalve.api.peer.WorkClass
import io.anvilvalve.api.release.Role
import java.util.PriorityQueue

/**
 * Upper bound on goodput of the pool of [model]: one queue in front of its prefill workers combined into one, with warm
 * prefix caches, and of all decode slots that keep the target for the token gap.
 *
 * The queue knows answer lengths and slot times in advance, so it wastes no work and starts only requests that meet
 * their deadline. The time between the tokens of an answer depends only on the slots in use at its start.
 */
internal class GoodputBound(workload: Workload, private val model: String) {
    private val prefills = workload.workers.filter { it.model == model && it.role == Role.PREFILL }
    private val decodes = workload.workers.filter { it.model == model && it.role == Role.DECODE }
    private val slots = decodes.sumOf { it.usableSlots() }
    private val slotFreeAt = PriorityQueue<Long>().apply { repeat(slots) { add(0L) } }

    /** Sets the outcome of each of [arrivals]: refused, or its first-token and end times. */
    fun serve(arrivals: List<Request>) {
        val waiting = PriorityQueue<Request>(compareBy({ it.spec.workClass == WorkClass.BATCH }, { it.number }))
        val pending = ArrayDeque(arrivals.filter { it.spec.model == model })
        var now = 0L
        while (pending.isNotEmpty() || waiting.isNotEmpty()) {
            if (waiting.isEmpty()) now = maxOf(now, pending.first().arrivedAt)
            while (pending.isNotEmpty() && pending.first().arrivedAt <= now) waiting.add(pending.removeFirst())
            now = serveOne(waiting.poll() ?: continue, now)
        }
    }

    /** Runs [request] if its first token meets the deadline; returns when the prefill workers are free again. */
    private fun serveOne(request: Request, now: Long): Long {
        val readyAt = now + prefillMicros(request)
        val decodeAt = maxOf(readyAt, slotFreeAt.peek())
        val stepTime = stepMicros(slotFreeAt.count { it > decodeAt } / slots.toDouble())
        request.refused = decodeAt + stepTime > request.deadline
        if (request.refused) return now
        slotFreeAt.poll()
        slotFreeAt.add(decodeAt + (request.outputTokens * stepTime).toLong())
        request.firstTokenAt = decodeAt + stepTime.toLong()
        request.finishedAt = request.firstTokenAt + ((request.outputTokens - 1) * stepTime).toLong()
        return readyAt
    }

    /** Mean time between tokens over the slots of all workers, with the share [utilisation] of the slots in use. */
    private fun stepMicros(utilisation: Double): Double {
        val usable = decodes.filter { it.usableSlots() > 0 }
        return slots /
            usable.sumOf { it.usableSlots() / it.stepMicros((it.usableSlots() * utilisation).toInt().coerceAtLeast(1)) }
    }

    private fun prefillMicros(request: Request): Long {
        val tokens = (request.promptTokens - request.cacheableTokens).coerceAtLeast(1)
        return (1 / prefills.sumOf { 1 / it.prefillMicros(tokens) }).toLong()
    }
}
