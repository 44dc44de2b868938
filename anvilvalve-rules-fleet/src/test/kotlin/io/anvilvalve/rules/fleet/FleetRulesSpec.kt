package io.anvilvalve.rules.fleet

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.seconds

/** Guards against hosts that do not join, do not acquire slots or do not admit requests in a fleet without faults. */
class FleetRulesSpec :
    FunSpec({
        test("hosts without faults join, own every slot once and admit requests") {
            val world = FleetWorld(seed = 1, hostCount = 5, faults = false)
            world.run(60.seconds)
            world.checker.violations.shouldBeEmpty()
            val snapshot = world.hosts.first().rules.snapshot()
            snapshot.members.size shouldBe 5
            snapshot.slots.keys shouldBe (0 until FleetWorld.SLOTS).toSet()
            withClue("refused: ${world.checker.refusedCount}") { world.checker.admittedCount shouldBeGreaterThan 100 }
        }
    })
