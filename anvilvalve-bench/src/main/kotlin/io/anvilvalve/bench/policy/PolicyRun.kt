package io.anvilvalve.bench.policy

import io.anvilvalve.rules.scheduling.SchedulingSettings

/** Runs policies on one workload with the same seed. */
internal class PolicyRun(private val workload: Workload, private val seed: Long) {
    /** [workload] with its speed spread applied. */
    private val effective = spreadSpeeds(workload)
    private val capacity = Capacity(effective)
    private val arrivals = Arrivals(effective, capacity)

    fun measure(policy: String, load: Double): PolicyResult {
        val bound = PolicyMetrics(effective, capacity, load, bound(load))
        val run = if (policy == BOUND) Outcome(bound(load), 0.0) else simulate(policy, load)
        val metrics = PolicyMetrics(effective, capacity, load, run.requests)
        return PolicyResult(
            workload = effective.name,
            load = load,
            policy = policy,
            goodputRatio = metrics.goodputRatio(),
            boundRatio = PolicyMetrics.ratio(metrics.goodput(), bound.goodput()),
            wastedPrefillRatio = run.wastedPrefill,
            worstOrganisationRatio = metrics.worstOrganisationRatio(),
            refusedWithinRateRatio = metrics.refusedWithinRateRatio(),
        )
    }

    private fun bound(load: Double): List<Request> = arrivals.draw(load, seed).also { requests ->
        effective.models.forEach { GoodputBound(effective, it).serve(requests) }
    }

    private fun simulate(name: String, load: Double): Outcome {
        val simulation = Simulation()
        val cluster = Cluster(effective, simulation, seed)
        val hosts = EntryHosts(effective, simulation, cluster)
        val policy = policy(name, simulation, hosts)
        hosts.policy = policy
        cluster.start(policy)
        val requests = arrivals.draw(load, seed)
        requests.forEach { simulation.after(it.arrivedAt) { hosts.arrive(it) } }
        simulation.run()
        val computed = cluster.prefills.values.sumOf { it.computedTokens }.toDouble()
        return Outcome(requests, PolicyMetrics.ratio(computed - hosts.decodedPrefillTokens, computed))
    }

    private fun policy(name: String, simulation: Simulation, hosts: EntryHosts): Policy = when (name) {
        "naive" -> NaivePolicy(effective, hosts)
        "v1" -> TwoChoicesPolicy(effective, hosts, seed)
        "v2" -> CentralCountsPolicy(effective, simulation, hosts)
        "v3" -> SchedulerPolicy(effective, simulation, hosts, SchedulingSettings(overbooking = false)).apply { start() }
        "current" -> SchedulerPolicy(effective, simulation, hosts).apply { start() }
        else -> error("unknown policy $name")
    }

    private class Outcome(val requests: List<Request>, val wastedPrefill: Double)

    companion object {
        const val BOUND = "bound"
        val POLICIES = listOf("naive", "v1", "v2", "v3", "current", BOUND)

        /** Divides the speed of every other worker by [Workload.speedSpread]. */
        private fun spreadSpeeds(workload: Workload): Workload {
            if (workload.speedSpread == 1.0) return workload
            val workers = workload.workers.mapIndexed { index, worker ->
                if (index % 2 == 0) worker else worker.copy(speed = worker.speed / workload.speedSpread)
            }
            return workload.copy(workers = workers)
        }
    }
}
