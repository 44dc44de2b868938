package io.anvilvalve.bench.policy

import io.anvilvalve.api.port.LoadReport
import io.anvilvalve.api.release.Role

/** Each host chooses prefill workers round robin and the decode worker with the lowest last reported load. */
internal class NaivePolicy(private val workload: Workload, private val sink: DecisionSink) : Policy {
    private val prefillTurns = HashMap<String, Int>()
    private val reportedLoad = HashMap<String, Int>()

    override fun submit(request: Request) {
        val workers = workload.workers.filter { it.model == request.spec.model }
        val prefills = workers.filter { it.role == Role.PREFILL }
        val turn = prefillTurns.merge("${request.host.name}/${request.spec.model}", 1, Int::plus) ?: 0
        val decode = workers.filter { it.role == Role.DECODE }.minBy { reportedLoad[it.name] ?: 0 }
        sink.place(request, request.attempt, Placement(prefills[turn % prefills.size].name, decode.name))
    }

    override fun loadReported(worker: WorkerSpec, report: LoadReport) {
        reportedLoad[worker.name] = report.running + report.waiting
    }
}
