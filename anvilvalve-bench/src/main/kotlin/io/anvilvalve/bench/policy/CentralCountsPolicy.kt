package io.anvilvalve.bench.policy

import io.anvilvalve.api.peer.Phase
import io.anvilvalve.api.release.Role

/**
 * One central owner with exact counts of requests in flight and one queue in order of arrival.
 *
 * It has no fairness between organisations and no load estimates, and it does not choose the decode worker first.
 */
internal class CentralCountsPolicy(
    private val workload: Workload,
    private val simulation: Simulation,
    private val sink: DecisionSink,
) : Policy {
    private val load = HashMap<String, Int>()
    private val placements = HashMap<Int, Placement>()
    private val waiting = ArrayDeque<Request>()

    override fun submit(request: Request) {
        simulation.after(workload.crossCentreLatencyMicros) {
            waiting.addLast(request)
            dispatchWaiting()
        }
    }

    override fun progress(request: Request, step: Progress) = simulation.after(workload.crossCentreLatencyMicros) {
        val placement = placements[request.number]
        if (placement != null) releaseWorkers(placement, step.phase)
        dispatchWaiting()
    }

    private fun releaseWorkers(workers: Placement, phase: Phase) {
        if (phase == Phase.PREFILL_FINISHED || phase == Phase.PREFILL_FAILED) load.merge(workers.prefill, -1, Int::plus)
        val ended = phase == Phase.DECODE_FINISHED || phase == Phase.DECODE_FAILED || phase == Phase.PREFILL_FAILED
        if (ended) load.merge(workers.decode, -1, Int::plus)
    }

    private fun dispatchWaiting() {
        val iterator = waiting.iterator()
        while (iterator.hasNext()) {
            val request = iterator.next()
            val expired = request.firstTokenAt == 0L && request.deadline < simulation.now
            val placement = if (expired) null else place(request)
            if (!expired && placement == null) continue
            iterator.remove()
            val attempt = request.attempt
            simulation.after(workload.crossCentreLatencyMicros) {
                if (expired) sink.refuse(request, attempt) else placement?.let { sink.place(request, attempt, it) }
            }
        }
    }

    private fun place(request: Request): Placement? {
        val prefill = leastLoaded(request, Role.PREFILL) { MAX_PREFILLS_PER_WORKER } ?: return null
        val decode = leastLoaded(request, Role.DECODE) { it.slots } ?: return null
        load.merge(prefill, 1, Int::plus)
        load.merge(decode, 1, Int::plus)
        return Placement(prefill, decode).also { placements[request.number] = it }
    }

    private fun leastLoaded(request: Request, role: Role, limit: (WorkerSpec) -> Int): String? = workload.workers
        .filter { it.model == request.spec.model && it.role == role && (load[it.name] ?: 0) < limit(it) }
        .minByOrNull { load[it.name] ?: 0 }?.name

    private companion object {
        const val MAX_PREFILLS_PER_WORKER = 2
    }
}
