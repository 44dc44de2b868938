package io.anvilvalve.bench.policy

import io.anvilvalve.api.peer.Phase
import io.anvilvalve.api.release.Role

/** One owner with exact counts and one queue in the order of arrival; no fairness, no estimates, no decode first. */
internal class CentralCountsPolicy(
    private val workload: Workload,
    private val simulation: Simulation,
    private val origin: Origin,
) : Policy {
    private val held = HashMap<String, Int>()
    private val places = HashMap<Int, Place>()
    private val waiting = ArrayDeque<Request>()

    override fun submit(request: Request) {
        simulation.after(workload.crossCentreMicros) {
            waiting.addLast(request)
            pump()
        }
    }

    override fun progress(request: Request, step: Step) = simulation.after(workload.crossCentreMicros) {
        val place = places[request.number]
        if (place != null) ended(place, step.phase)
        pump()
    }

    private fun ended(place: Place, phase: Phase) {
        if (phase == Phase.PREFILL_FINISHED || phase == Phase.PREFILL_FAILED) held.merge(place.prefill, -1, Int::plus)
        val over = phase == Phase.DECODE_FINISHED || phase == Phase.DECODE_FAILED || phase == Phase.PREFILL_FAILED
        if (over) held.merge(place.decode, -1, Int::plus)
    }

    private fun pump() {
        val iterator = waiting.iterator()
        while (iterator.hasNext()) {
            val request = iterator.next()
            val late = request.firstTokenAt == 0L && request.deadline < simulation.now
            val place = if (late) null else place(request)
            if (!late && place == null) continue
            iterator.remove()
            val attempt = request.attempt
            simulation.after(workload.crossCentreMicros) {
                if (late) origin.refuse(request, attempt) else place?.let { origin.place(request, attempt, it) }
            }
        }
    }

    private fun place(request: Request): Place? {
        val prefill = least(request, Role.PREFILL) { PREFILL_DEPTH } ?: return null
        val decode = least(request, Role.DECODE) { it.slots } ?: return null
        held.merge(prefill, 1, Int::plus)
        held.merge(decode, 1, Int::plus)
        return Place(prefill, decode).also { places[request.number] = it }
    }

    private fun least(request: Request, role: Role, limit: (WorkerSpec) -> Int): String? = workload.workers
        .filter { it.model == request.spec.model && it.role == role && (held[it.name] ?: 0) < limit(it) }
        .minByOrNull { held[it.name] ?: 0 }?.name

    private companion object {
        const val PREFILL_DEPTH = 2
    }
}
