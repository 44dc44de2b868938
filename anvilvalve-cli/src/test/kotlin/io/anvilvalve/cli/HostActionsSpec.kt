package io.anvilvalve.cli

import io.anvilvalve.api.id.KeyHash
import io.anvilvalve.api.id.LogOffset
import io.anvilvalve.api.id.ReleaseNumber
import io.anvilvalve.standins.FakeLogService
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.runTest
import kotlin.time.Duration.Companion.seconds

/** Guards against success for a withdrawal without a majority of hosts, and against a wait that ends too early. */
class HostActionsSpec :
    FunSpec({
        val hash = KeyHash.of("key")

        fun actions(log: FakeLogService, operators: FakeOperators, configured: Int) =
            HostActions(log, HostDirectory((1..configured).map { "10.0.0.$it:8081" }, null, 8_081), operators)

        test("a withdrawal goes to the log, even if the first response is lost") {
            runTest {
                val log = FakeLogService()
                val operators = FakeOperators.of(size = 3)
                log.faults.lostAnswers.next(1)
                actions(log, operators, configured = 3).withdrawKey(hash).exit shouldBe ExitCode.OK
                LogReader(log).read().getOrNull()?.snapshot?.withdrawnKeys shouldBe setOf(hash)
                operators.withdrawn.shouldBeEmpty()
            }
        }

        listOf(
            Triple(5, 3, 5) to ExitCode.OK,
            Triple(5, 2, 5) to ExitCode.HOSTS_MISSING,
            Triple(4, 2, 4) to ExitCode.HOSTS_MISSING,
            Triple(5, 5, 2) to ExitCode.HOSTS_MISSING,
            Triple(1, 0, 1) to ExitCode.HOSTS_MISSING,
        ).forEach { (case, exit) ->
            val (size, up, configured) = case
            test("withdrawal in a log outage with $up of $size hosts up and $configured configured exits with $exit") {
                runTest {
                    val log = FakeLogService()
                    log.faults.down = true
                    val operators = FakeOperators.of(size, up)
                    actions(log, operators, configured).withdrawKey(hash).exit shouldBe exit
                    operators.withdrawn.size shouldBe minOf(up, configured)
                    log.endOffset shouldBe LogOffset(0)
                }
            }
        }

        test("wait ends when the last host has the release, and lists the hosts without it at the timeout") {
            runTest {
                val operators = FakeOperators.of(size = 2)
                launch {
                    delay(5.seconds)
                    operators.setRelease(2)
                }
                val actions = actions(FakeLogService(), operators, configured = 2)
                actions.wait(ReleaseNumber(2), 20.seconds).exit shouldBe ExitCode.OK
                val late = actions.wait(ReleaseNumber(3), 20.seconds)
                late.exit shouldBe ExitCode.HOSTS_MISSING
                late.lines.drop(1) shouldBe listOf("10.0.0.1:8081: release 2", "10.0.0.2:8081: release 2")
            }
        }

        test("status reports hosts that do not respond") {
            runTest {
                val outcome = actions(FakeLogService(), FakeOperators.of(size = 2, up = 1), configured = 2).status()
                outcome.exit shouldBe ExitCode.HOSTS_MISSING
                outcome.lines.last() shouldBe "10.0.0.2:8081: connection refused"
            }
        }
    })
