package io.anvilvalve.rules.fleet

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import kotlin.time.Duration.Companion.seconds

/** Guards the limits and the slot owners against every interleaving of faults that the seeds reach. */
class FleetInterleavingSpec :
    FunSpec({
        test("no schedule breaks an invariant") {
            var admitted = 0
            val failed = (1L..(System.getProperty("schedules") ?: "1500").toLong()).mapNotNull { seed ->
                val world = FleetWorld(seed, hostCount = 3 + (seed % 5).toInt())
                world.run(30.seconds)
                admitted += world.checker.admittedCount
                if (world.checker.violations.isEmpty()) null else seed to world
            }
            failed.take(3).forEach { (seed, world) ->
                println("seed $seed: ${world.checker.violations.take(3)}\n${world.trace.joinToString("\n")}")
            }
            check(failed.isEmpty()) { "seeds that fail: ${failed.map { it.first }}" }
            admitted shouldBeGreaterThan 10_000
        }
    })
