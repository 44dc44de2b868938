package io.anvilvalve.rules.release

import io.anvilvalve.api.id.KeyHash
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/**
 * Guards against a call that runs twice, an answer "not run" for a call that ran, and hosts with different releases.
 *
 * The spec runs random interleavings of requests, notes, restarts and faults from fixed seeds.
 */
class InterleavingSpec :
    FunSpec({
        fun simulate(seed: Int, bug: SeededBug? = null): VirtualFleet {
            val random = Random(seed)
            val fleet = VirtualFleet(size = 3, FaultPlan.random(random, share = 0.25), random, bug)
            repeat(250) {
                val host = random.nextInt(3)
                when (random.nextInt(16)) {
                    in 0..2 -> fleet.request(host, "key-${random.nextInt(4)}")
                    3 -> fleet.publish(host, stale = random.nextInt(4) == 0)
                    4 -> fleet.restart(host, fromSnapshot = random.nextBoolean())
                    5 -> if (random.nextInt(8) == 0) fleet.kill(host)
                    in 6..10 -> fleet.poll(host, limit = 1 + random.nextInt(5))
                    else -> fleet.advance((1 + random.nextInt(300)).milliseconds)
                }
            }
            fleet.settle()
            return fleet
        }

        test("no interleaving of events violates an invariant") {
            var runs = 0
            repeat(400) { seed ->
                val fleet = simulate(seed)
                runs += fleet.checker.runs.size
                withClue("seed $seed") {
                    fleet.checker.violations.shouldBeEmpty()
                    fleet.unanswered().shouldBeEmpty()
                    fleet.states().map { it.release }.toSet().size shouldBe 1
                }
            }
            runs shouldBeGreaterThan 400
        }

        SeededBug.entries.forEach { bug ->
            test("the checkers detect $bug") {
                (0 until 20).flatMap { simulate(it, bug).checker.violations }.shouldNotBeEmpty()
            }
        }

        test("a withdrawal that one host received reaches all hosts and the log, also after a fault") {
            val hash = KeyHash.of("leaked")
            listOf(
                null,
                Fault.OUTAGE,
                Fault.LOST_ANSWER,
                Fault.LOST_REQUEST,
                Fault.REFUSED,
                Fault.CRASH,
            ).forEach { fault ->
                val plan = FaultPlan.of(listOfNotNull(fault?.let { Triple(InjectionPoint.WITHDRAWAL, 0, it) }))
                val fleet = VirtualFleet(size = 3, plan)
                fleet.withdraw(0, hash)
                fleet.advance(100.milliseconds)
                withClue("$fault") {
                    (0..2).forEach { fleet.isRevoked(it, hash) shouldBe true }
                    repeat(200) { fleet.advance(100.milliseconds) }
                    fleet.settle()
                    fleet.states().forEach { it.withdrawnKeys shouldBe setOf(hash) }
                }
            }
        }
    })
