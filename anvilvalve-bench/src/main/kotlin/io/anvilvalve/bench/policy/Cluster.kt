package io.anvilvalve.bench.policy

import io.anvilvalve.api.id.ModelId
import io.anvilvalve.api.port.LoadReport
import io.anvilvalve.api.release.Role
import kotlin.random.Random

/** The simulated engines of a run, with their faults and load reports. */
internal class Cluster(private val workload: Workload, private val simulation: Simulation, seed: Long) {
    private val random = Random(seed)
    private val lengths = Lengths(workload)
    val prefills = workload.workers.filter { it.role == Role.PREFILL }.associate {
        it.name to PrefillEngine(it, simulation, lengths, Random(random.nextLong()))
    }
    val decodes = workload.workers.filter { it.role == Role.DECODE }.associate {
        it.name to DecodeEngine(it, simulation)
    }

    /** Schedules the faults, and the load and cache reports to [policy]. */
    fun start(policy: Policy) {
        workload.faults.forEach { fault ->
            simulation.after(fault.fromMicros) { setSpeed(fault.worker, fault.speed) }
            simulation.after(fault.toMicros) { setSpeed(fault.worker, 1.0) }
        }
        simulation.every(workload.reportIntervalMicros, workload.durationMicros) { report(policy) }
    }

    private fun setSpeed(worker: String, speed: Double) {
        prefills[worker]?.let {
            it.speed = speed
            if (speed == 0.0) it.kill()
        }
        decodes[worker]?.let {
            it.speed = speed
            if (speed == 0.0) it.kill()
        }
    }

    private fun report(policy: Policy) {
        val sequence = simulation.now
        prefills.values.filter { it.speed > 0.0 }.forEach { engine ->
            val report = report(engine.spec, sequence, engine.running, engine.queued, 0)
            simulation.after(workload.reportLagMicros) { policy.loadReported(engine.spec, report) }
            // Dropped events leave gaps in the sequence numbers.
            val events = engine.cacheEvents.filter { random.nextDouble() >= workload.cacheGapRatio }
            engine.cacheEvents.clear()
            simulation.after(workload.cacheLagMicros) { policy.cacheReported(engine.spec, events) }
        }
        decodes.values.filter { it.speed > 0.0 }.forEach { engine ->
            val report = report(engine.spec, sequence, engine.slotsUsed, engine.queued, engine.kvUsed)
            simulation.after(workload.reportLagMicros) { policy.loadReported(engine.spec, report) }
        }
    }

    private fun report(worker: WorkerSpec, sequence: Long, running: Int, waiting: Int, kvUsed: Int) = LoadReport(
        sequence = sequence,
        running = running,
        waiting = waiting,
        kvPiecesFree = worker.kvPieces - kvUsed,
        kvPiecesTotal = worker.kvPieces,
        models = listOf(ModelId(worker.model)),
        ageMillis = workload.reportLagMicros / MICROS_PER_MILLI.toLong(),
    )
}
