package io.anvilvalve.bench.policy

import io.anvilvalve.api.port.LoadReport
import io.anvilvalve.api.release.Role

/** Each host sends prefills round robin and decodes to the worker that was least loaded in its last report. */
internal class NaivePolicy(private val workload: Workload, private val origin: Origin) : Policy {
    private val next = HashMap<String, Int>()
    private val reported = HashMap<String, Int>()

    override fun submit(request: Request) {
        val workers = workload.workers.filter { it.model == request.spec.model }
        val prefills = workers.filter { it.role == Role.PREFILL }
        val turn = next.merge("${request.host.name}/${request.spec.model}", 1, Int::plus) ?: 0
        val decode = workers.filter { it.role == Role.DECODE }.minBy { reported[it.name] ?: 0 }
        origin.place(request, request.attempt, Place(prefills[turn % prefills.size].name, decode.name))
    }

    override fun loadReported(worker: WorkerSpec, report: LoadReport) {
        reported[worker.name] = report.running + report.waiting
    }
}
