package io.anvilvalve.rules.release

import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.id.DataCentreId
import io.anvilvalve.api.id.ModelId
import io.anvilvalve.api.id.ReleaseNumber
import io.anvilvalve.api.port.EngineTarget
import io.anvilvalve.api.release.BackendServer
import io.anvilvalve.api.release.Model
import io.anvilvalve.api.release.Release
import io.anvilvalve.api.release.Role
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.minutes

/**
 * Guards against two order issuers, pools below their capacity, loads too close together and unfinished role changes.
 */
class OrderIssuerSpec :
    FunSpec({
        val model = ModelId("m")

        /**
         * Creates a fleet in which two engines must change from prefill to decode and three must load a model version;
         * one of these three starts without a model.
         *
         * The decode pool starts below the capacity that the release requires, so most tests check the prefill pool.
         */
        fun fleet(
            vararg faults: Pair<Int, OrderFault>,
            bug: SeededOrderBug? = null,
            checksFencing: (Int) -> Boolean = { it % 2 == 0 },
            start: (Int) -> EngineTarget = {
                val version = if (it in listOf(0, 4)) "0" else "1"
                val models = if (it == 1) emptyMap() else mapOf(model to version)
                EngineTarget(if (it < 4) Role.PREFILL else Role.DECODE, models)
            },
        ): EngineFleet {
            val servers = (0..5).map {
                BackendServer(
                    BackendServerId("e$it"),
                    "127.0.0.1:${9_000 + it}",
                    DataCentreId("d"),
                    if (it < 2) Role.PREFILL else Role.DECODE,
                    listOf(model),
                    checksFencing = checksFencing(it),
                )
            }
            val release = Release(ReleaseNumber(1), servers.associateBy { it.id }, mapOf(model to Model(model)))
            val engines = servers.withIndex().associate { (i, it) ->
                it.id to VirtualEngine(checksFencing(i), start(i))
            }
            return EngineFleet(release, engines, faults.toMutableList(), bug)
        }

        test("without faults each engine gets one order") {
            val fleet = fleet()
            fleet.run(1.minutes)
            fleet.allTargetsReached shouldBe true
            fleet.orders shouldBe 5
            fleet.violations.filterNot { it.startsWith("DECODE") }.shouldBeEmpty()
        }

        test("a role change waits while another one takes capacity from the same pool") {
            val fleet = fleet(checksFencing = { true })
            fleet.run(1.minutes)
            fleet.allTargetsReached shouldBe true
            fleet.violations.filterNot { it.startsWith("DECODE") }.shouldBeEmpty()
        }

        val cases = OrderFault.entries.flatMap { fault -> (1..3).map { listOf(it to fault) } }
        val pairs = cases.flatMapIndexed { i, first -> cases.drop(i).map { first + it } }
        listOf("single" to cases, "paired" to pairs).forEach { (name, table) ->
            test("with $name faults, only one host issues orders and all role changes are completed") {
                table.forEach { planned ->
                    val fleet = fleet(*planned.toTypedArray())
                    fleet.run(1.minutes)
                    fleet.runUntilTargetsReached(20.minutes)
                    withClue("$planned") {
                        fleet.violations.filterNot { it.startsWith("DECODE") }.shouldBeEmpty()
                        fleet.allTargetsReached shouldBe true
                    }
                }
            }
        }

        test("a role swap without spare capacity is held back, and the held engines are reported") {
            val fleet = fleet(start = {
                EngineTarget(if (it in listOf(0, 2)) Role.PREFILL else Role.DECODE, mapOf(model to "1"))
            })
            fleet.run(5.minutes)
            fleet.violations.shouldBeEmpty()
            fleet.orders shouldBe 0
            fleet.heldEngines shouldBe setOf(BackendServerId("e1"), BackendServerId("e2"))
        }

        listOf(
            SeededOrderBug.OLD_ORDER to "an old order",
            SeededOrderBug.DUPLICATED_ORDER to "two loads",
            SeededOrderBug.EARLY_ROLE_CHANGE to "PREFILL",
        ).forEach { (bug, violation) ->
            test("the checks detect $bug") {
                val fleet = fleet(1 to OrderFault.CRASH, bug = bug)
                fleet.run(5.minutes)
                fleet.violations.filter { it.startsWith(violation) }.shouldNotBeEmpty()
            }
        }
    })
