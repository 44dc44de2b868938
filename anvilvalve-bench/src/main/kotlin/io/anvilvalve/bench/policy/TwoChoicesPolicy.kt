package io.anvilvalve.bench.policy

import io.anvilvalve.api.peer.Phase
import io.anvilvalve.api.release.Role
import kotlin.random.Random

/** Each host takes the better of two random workers by its own counts of requests in flight. */
internal class TwoChoicesPolicy(private val workload: Workload, private val origin: Origin, seed: Long) : Policy {
    private val random = Random(seed)
    private val inFlight = HashMap<String, Int>()
    private val places = HashMap<Int, Place>()

    override fun submit(request: Request) {
        val place = Place(choose(request, Role.PREFILL), choose(request, Role.DECODE))
        places[request.number] = place
        change(request, place.prefill, 1)
        change(request, place.decode, 1)
        origin.place(request, request.attempt, place)
    }

    override fun progress(request: Request, step: Step) {
        val place = places[request.number] ?: return
        when (step.phase) {
            Phase.PREFILL_FINISHED -> change(request, place.prefill, -1)

            Phase.DECODE_FINISHED, Phase.DECODE_FAILED -> change(request, place.decode, -1)

            Phase.PREFILL_FAILED -> {
                change(request, place.prefill, -1)
                change(request, place.decode, -1)
            }

            else -> Unit
        }
    }

    private fun choose(request: Request, role: Role): String {
        val workers = workload.workers.filter { it.model == request.spec.model && it.role == role }
        return List(2) { workers[random.nextInt(workers.size)].name }.minBy { inFlight[key(request, it)] ?: 0 }
    }

    private fun change(request: Request, worker: String, change: Int) {
        inFlight.merge(key(request, worker), change, Int::plus)
    }

    private fun key(request: Request, worker: String) = "${request.host.name}/$worker"
}
