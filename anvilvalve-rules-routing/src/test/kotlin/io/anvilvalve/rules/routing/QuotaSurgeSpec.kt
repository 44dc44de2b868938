package io.anvilvalve.rules.routing

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

private const val RATE = 115_000.0
private const val BURST = 115_000.0
private const val COST = 10_000

/** Requests a second that the organisation usually sends: half of its rate. */
private const val USUAL = 6
private val terms = QuotaTerms()

/** Tokens that the operators allow in a window. */
private val ceiling = (RATE * 8 + BURST) * (1 + terms.overshoot) + terms.slack

/** Guards against hosts that admit a surge of one organisation by usage that the others have already exceeded. */
class QuotaSurgeSpec :
    FunSpec({
        data class Surge(
            val hosts: Int,
            val times: Int,
            val trouble: String,
            val isKnownRed: Boolean = false,
            val cause: (FleetSimulation) -> Unit = {},
        )

        fun FleetSimulation.mostInWindow(): Double {
            val times = sentAt.values.flatten().sorted()
            return times.maxOf { from -> times.count { it in from..<(from + terms.window) } } * COST.toDouble()
        }

        fun late(fleet: FleetSimulation) = fleet.hosts.forEach { it.lag = 400.milliseconds }
        fun withoutCoordinators(fleet: FleetSimulation) = fleet.hosts.take(3).forEach(fleet::kill)

        listOf(
            Surge(hosts = 7, times = 12, "no trouble"),
            Surge(hosts = 7, times = 6, "hosts are late", cause = ::late),
            Surge(hosts = 7, times = 12, "hosts are late", isKnownRed = true, cause = ::late),
            Surge(hosts = 58, times = 6, "no trouble"),
            Surge(hosts = 58, times = 12, "no trouble"),
            Surge(hosts = 58, times = 6, "hosts are late", cause = ::late),
            Surge(hosts = 58, times = 12, "hosts are late", cause = ::late),
            Surge(hosts = 58, times = 12, "the coordinators end", cause = ::withoutCoordinators),
        ).forEach { surge ->
            // The cases in KNOWN-RED.txt run with -DknownRed=true.
            val isRun = !surge.isKnownRed || System.getProperty("knownRed") == "true"
            test(
                "${surge.times} times the usual traffic stays within the limit: ${surge.hosts} hosts, ${surge.trouble}",
            )
                .config(enabled = isRun) {
                    for (lead in listOf(Duration.ZERO, 900.milliseconds)) {
                        val servers = listOf(plain("p", slots = 100_000))
                        val fleet = FleetSimulation(surge.hosts, configuration(1, RATE, BURST), servers)
                        fleet.run(10.seconds)
                        fleet.run(10.seconds, arrivals = USUAL, cost = COST)
                        fleet.run(lead, arrivals = USUAL * surge.times, cost = COST)
                        surge.cause(fleet)
                        fleet.run(6.seconds, arrivals = USUAL * surge.times, cost = COST)
                        withClue("trouble after $lead") {
                            fleet.mostInWindow() shouldBeLessThanOrEqualTo ceiling
                            fleet.mostInWindow() shouldBeGreaterThan RATE * 8
                        }
                    }
                }
        }
    })
