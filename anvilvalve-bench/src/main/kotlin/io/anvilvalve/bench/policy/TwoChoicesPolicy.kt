package io.anvilvalve.bench.policy

import io.anvilvalve.api.peer.Phase
import io.anvilvalve.api.release.Role
import kotlin.random.Random

/** Power of two choices: each host takes the less loaded of two random workers, by its own requests in flight. */
internal class TwoChoicesPolicy(private val workload: Workload, private val sink: DecisionSink, seed: Long) : Policy {
    private val random = Random(seed)
    private val inFlight = HashMap<String, Int>()
    private val placements = HashMap<Int, Placement>()

    override fun submit(request: Request) {
        val placement = Placement(choose(request, Role.PREFILL), choose(request, Role.DECODE))
        placements[request.number] = placement
        adjust(request, placement.prefill, 1)
        adjust(request, placement.decode, 1)
        sink.place(request, request.attempt, placement)
    }

    override fun progress(request: Request, step: Progress) {
        val placement = placements[request.number] ?: return
        when (step.phase) {
            Phase.PREFILL_FINISHED -> adjust(request, placement.prefill, -1)

            Phase.DECODE_FINISHED, Phase.DECODE_FAILED -> adjust(request, placement.decode, -1)

            Phase.PREFILL_FAILED -> {
                adjust(request, placement.prefill, -1)
                adjust(request, placement.decode, -1)
            }

            else -> Unit
        }
    }

    private fun choose(request: Request, role: Role): String {
        val workers = workload.workers.filter { it.model == request.spec.model && it.role == role }
        return List(2) { workers[random.nextInt(workers.size)].name }.minBy { inFlight[key(request, it)] ?: 0 }
    }

    private fun adjust(request: Request, worker: String, change: Int) {
        inFlight.merge(key(request, worker), change, Int::plus)
    }

    private fun key(request: Request, worker: String) = "${request.host.name}/$worker"
}
