package io.anvilvalve.verification

import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.id.KeyHash
import io.anvilvalve.api.id.ReleaseNumber
import io.anvilvalve.api.result.ResultCode
import io.anvilvalve.core.HostEffect
import io.anvilvalve.core.HostEvent
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.seconds

private typealias Mutation = (HostEffect) -> List<HostEffect>

/** Guards against checkers that cannot fail: each must report a violation that is planted in the effects of a host. */
class InvariantsSpec :
    FunSpec({
        fun run(prepare: Scenario.() -> Unit = {}, mutate: Mutation = { listOf(it) }): Invariants {
            val scenario = Scenario(seed = 7)
            scenario.warmUp()
            scenario.prepare()
            scenario.fleet.mutate = mutate
            scenario.traffic()
            scenario.fleet.queue.runUntil(Scenario.READY + 90.seconds)
            return scenario.invariants
        }

        fun Scenario.cancelSome() = fleet.queue.after(3.seconds) {
            fleet.ledger.entries.keys.toList().forEach { fleet.callerGone(it) }
        }

        test("a healthy run answers all requests whole and has no violation") {
            val invariants = run()
            invariants.all().shouldBeEmpty()
            invariants.outcomes().keys shouldBe setOf("whole")
        }

        test("memory held for a caller that is gone is reported") {
            val invariants = run({ cancelSome() }) { if (it is HostEffect.CancelAttempt) emptyList() else listOf(it) }
            // The long answers of the second round would stream on for 30 s; look before they end by themselves.
            invariants.memoryFreed().shouldBeEmpty()
            val early = Scenario(seed = 7)
            early.warmUp()
            early.cancelSome()
            early.fleet.mutate = { if (it is HostEffect.CancelAttempt) emptyList() else listOf(it) }
            early.traffic()
            early.fleet.queue.runUntil(Scenario.READY + 5.seconds)
            early.invariants.memoryFreed().shouldNotBeEmpty()
        }

        test("a second answer is reported") {
            val invariants = run { if (it is HostEffect.FinishAnswer) listOf(it, it) else listOf(it) }
            invariants.answeredOnce().shouldNotBeEmpty()
        }

        test("a run for a withdrawn key is reported") {
            val invariants = run(prepare = {
                fleet.ledger.withdrawnKeys[KeyHash.of("large-key")] = fleet.now - 11.seconds
            })
            invariants.withdrawnKeysStop().shouldNotBeEmpty()
        }

        test("use over rate and burst is reported") {
            val scenario = Scenario(seed = 7)
            scenario.warmUp()
            scenario.traffic()
            scenario.fleet.queue.runUntil(Scenario.READY + 90.seconds)
            val tight = Invariants(scenario.fleet, mapOf(Scenario.SMALL to Invariants.Limit(rate = 1, burst = 100)))
            tight.withinLimits().shouldNotBeEmpty()
        }

        test("an answer with a gap is reported") {
            val invariants = run { effect ->
                val start = effect as? HostEffect.StartDecode
                listOf(start?.copy(resumeFrom = start.resumeFrom + 5) ?: effect)
            }
            invariants.wholeAnswers().shouldNotBeEmpty()
        }

        test("an unanswered request is reported") {
            val invariants = run { if (it is HostEffect.FinishAnswer) emptyList() else listOf(it) }
            invariants.wholeAnswers().shouldNotBeEmpty()
        }

        test("a refusal as not run of a request that ran is reported") {
            val invariants = run { effect ->
                val end = effect as? HostEffect.FinishAnswer
                listOf(if (end == null) effect else HostEffect.Refuse(end.id, ResultCode.QUEUE_FULL))
            }
            invariants.notRunIsTrue().shouldNotBeEmpty()
        }

        test("a second run of a call that may not be repeated is reported") {
            val invariants = run { if (it is HostEffect.CallService) listOf(it, it) else listOf(it) }
            invariants.atMostOnce().shouldNotBeEmpty()
        }

        test("new work at a leaving backend server is reported") {
            val invariants = run(prepare = {
                fleet.ledger.leavingServers[BackendServerId("p0")] = fleet.now - 11.seconds
            })
            invariants.leavingServersRest().shouldNotBeEmpty()
        }

        test("a stream cut by a planned stop is reported") {
            // The long answers take 30 s; a deadline of 5 s must cut them.
            val invariants = run({
                fleet.queue.after(2.seconds) { fleet.deliver(host(0), HostEvent.DrainRequested(5.seconds)) }
            })
            invariants.drainCutsNothing().shouldNotBeEmpty()
        }

        test("an earlier release after a later one is reported") {
            val invariants = run { effect ->
                val change = effect as? HostEffect.StatusChanged
                listOfNotNull(effect, change?.copy(status = change.status.copy(release = ReleaseNumber(0))))
            }
            invariants.releasesAgree().shouldNotBeEmpty()
        }
    })
