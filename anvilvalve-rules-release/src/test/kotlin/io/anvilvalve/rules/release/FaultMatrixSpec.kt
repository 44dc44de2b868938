package io.anvilvalve.rules.release

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.shouldBe
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/** Guards against broken invariants and blocked calls when single faults or pairs of faults hit a note or a claim. */
class FaultMatrixSpec :
    FunSpec({
        val single = InjectionPoint.entries.filter { it != InjectionPoint.WITHDRAWAL }
            .flatMap { step -> listOf(0, 1).flatMap { pass -> Fault.entries.map { Triple(step, pass, it) } } }
        val pairs = single.flatMapIndexed { i, first -> single.drop(i + 1).map { listOf(first, it) } }

        /** Two hosts claim the same call, the call is repeated later, and two operators publish conflicting notes. */
        fun simulate(planned: List<Triple<InjectionPoint, Int, Fault>>): VirtualFleet {
            val fleet = VirtualFleet(size = 3, FaultPlan.of(planned), Random(7))
            fleet.publish(0, stale = false)
            fleet.publish(1, stale = false)
            fleet.request(0, "a")
            fleet.request(1, "a")
            repeat(60) {
                fleet.advance(50.milliseconds)
                (0..2).forEach { host -> fleet.poll(host) }
                if (it == 20) fleet.request(0, "b")
                if (it == 30) fleet.request(2, "a")
                if (it == 40) fleet.publish(2, stale = true)
            }
            repeat(150) {
                fleet.advance(100.milliseconds)
                (0..2).forEach { host -> fleet.poll(host) }
                if (it % 50 == 10) fleet.request(it % 3, "a")
            }
            fleet.settle()
            return fleet
        }

        listOf("single" to single.map { listOf(it) }, "paired" to pairs).forEach { (name, table) ->
            test("$name faults violate no invariant and leave no call blocked") {
                table.forEach { planned ->
                    val fleet = simulate(planned)
                    withClue("$planned") {
                        fleet.checker.violations.shouldBeEmpty()
                        fleet.unanswered().shouldBeEmpty()
                        fleet.states().map { it.release }.toSet().size shouldBe 1
                        fleet.probe("a") shouldBeIn setOf("replied", "replayed", "OUTCOME_UNKNOWN")
                    }
                }
            }
        }

        test("without faults one host runs the call and the others replay its reply") {
            val fleet = simulate(emptyList())
            fleet.checker.runs shouldBe mapOf("a" to 1, "b" to 1)
            fleet.checker.answers.values.groupingBy { it }.eachCount() shouldBe mapOf("replied" to 2, "replayed" to 5)
        }
    })
