package io.anvilvalve.verification

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Every fault at every step, singly, twice and in pairs; guards against a broken invariant after any of them.
 *
 * A cell is reached when its step occurred; cells and reached cells are counted and printed.
 */
class FaultMatrixSpec :
    FunSpec({
        for (step in Step.entries) {
            test("faults at $step") {
                val plans = plans()
                var reached = 0
                val broken = plans.flatMap { plan ->
                    val run = MatrixCell(step, plan)
                    val violations = run.violations()
                    if (run.hits > 0) reached++
                    violations.map { "$step $plan: $it" }
                }
                println("fault matrix: $step, ${plans.size} cells, $reached reached, ${broken.size} violations")
                withClue("cells reached") { reached shouldBeGreaterThan 0 }
                broken.forEach(::println)
                broken.shouldBeEmpty()
            }
        }
    })

/** Each fault once and twice, and every pair. */
private fun plans(): List<List<Fault>> {
    val single = Fault.entries.map { listOf(it) }
    val twice = Fault.entries.map { listOf(it, it) }
    val pairs = Fault.entries.flatMap { a -> Fault.entries.filter { it > a }.map { listOf(a, it) } }
    return single + twice + pairs
}

/** One cell: the faults of [plan] hit at the first times that [step] is seen after the start of traffic. */
private class MatrixCell(private val step: Step, private val plan: List<Fault>) {
    private val scenario = Scenario(seed = step.ordinal * 1_000L + plan.sumOf { it.ordinal * 31L + 1 })

    var hits = 0
        private set

    fun violations(): List<String> {
        val fleet = scenario.fleet
        if (step.atStart) watch()
        scenario.warmUp()
        watch()
        scenario.traffic()
        fleet.queue.runUntil(Scenario.READY + FAULTY)
        fleet.onEffect = { _, _ -> }
        fleet.queue.runUntil(Scenario.READY + FAULTY + REST)
        return scenario.invariants.all()
    }

    private fun watch() {
        scenario.fleet.onEffect = { host, effect -> if (step.matches(effect)) hit(host) }
    }

    private fun hit(host: VirtualHost) {
        if (hits == 0) {
            scenario.fleet.queue.after(0.milliseconds) { plan.first().hit(scenario, host) }
            plan.getOrNull(1)?.let { second ->
                scenario.fleet.queue.after(300.milliseconds) { second.hit(scenario, host) }
            }
        }
        hits++
    }

    private companion object {
        val FAULTY = 30.seconds
        val REST = 60.seconds
    }
}
