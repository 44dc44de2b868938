package io.anvilvalve.verification

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Guards against a broken invariant after faults: every fault at every step, once, twice and in pairs.
 *
 * A cell is one step with one such plan of faults. A cell is reached if its step occurred during the run; the numbers
 * of cells and reached cells are printed.
 */
class FaultMatrixSpec :
    FunSpec({
        for (step in Step.entries) {
            test("faults at $step") {
                val plans = plans()
                var reached = 0
                val allViolations = plans.flatMap { plan ->
                    val run = MatrixCell(step, plan)
                    val violations = run.violations()
                    if (run.stepCount > 0) reached++
                    violations.map { "$step $plan: $it" }
                }
                println("fault matrix: $step, ${plans.size} cells, $reached reached, ${allViolations.size} violations")
                withClue("cells reached") { reached shouldBeGreaterThan 0 }
                allViolations.forEach(::println)
                allViolations.shouldBeEmpty()
            }
        }
    })

/** Returns the plans: each fault once, each fault twice, and every pair of different faults. */
private fun plans(): List<List<Fault>> {
    val single = Fault.entries.map { listOf(it) }
    val twice = Fault.entries.map { listOf(it, it) }
    val pairs = Fault.entries.flatMap { a -> Fault.entries.filter { it > a }.map { listOf(a, it) } }
    return single + twice + pairs
}

/**
 * Runs one cell: injects the first fault of [plan] when [step] first occurs and the second fault 300 ms later.
 *
 * Steps are observed from the start of the traffic, or from the start of the hosts if [Step.atStart] is set.
 */
private class MatrixCell(private val step: Step, private val plan: List<Fault>) {
    private val scenario = Scenario(seed = step.ordinal * 1_000L + plan.sumOf { it.ordinal * 31L + 1 })

    var stepCount = 0
        private set

    fun violations(): List<String> {
        val fleet = scenario.fleet
        if (step.atStart) injectOnStep()
        scenario.warmUp()
        injectOnStep()
        scenario.scheduleTraffic()
        fleet.queue.runUntil(Scenario.TRAFFIC_START + FAULT_PHASE)
        fleet.onEffect = { _, _ -> }
        fleet.queue.runUntil(Scenario.TRAFFIC_START + FAULT_PHASE + RECOVERY_PHASE)
        return scenario.invariants.all()
    }

    private fun injectOnStep() {
        scenario.fleet.onEffect = { host, effect -> if (step.matches(effect)) onStep(host) }
    }

    private fun onStep(host: VirtualHost) {
        if (stepCount == 0) {
            scenario.fleet.queue.schedule(0.milliseconds) { plan.first().inject(scenario, host) }
            plan.getOrNull(1)?.let { second ->
                scenario.fleet.queue.schedule(300.milliseconds) { second.inject(scenario, host) }
            }
        }
        stepCount++
    }

    private companion object {
        val FAULT_PHASE = 30.seconds
        val RECOVERY_PHASE = 60.seconds
    }
}
