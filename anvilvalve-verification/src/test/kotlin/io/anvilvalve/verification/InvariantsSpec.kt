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

/** Guards against checkers that cannot fail: each must report a violation injected into the run or its history. */
class InvariantsSpec :
    FunSpec({
        fun run(prepare: Scenario.() -> Unit = {}, mutate: Mutation = { listOf(it) }): Invariants {
            val scenario = Scenario(seed = 7)
            scenario.warmUp()
            scenario.prepare()
            scenario.fleet.mutate = mutate
            scenario.scheduleTraffic()
            scenario.fleet.queue.runUntil(Scenario.TRAFFIC_START + 90.seconds)
            return scenario.invariants
        }

        fun Scenario.cancelSome() = fleet.queue.schedule(3.seconds) {
            fleet.history.entries.keys.toList().forEach { fleet.disconnectCaller(it) }
        }

        test("a run without faults completes all requests and has no violation") {
            val invariants = run()
            invariants.all().shouldBeEmpty()
            invariants.outcomes().keys shouldBe setOf("complete")
        }

        test("memory held for a disconnected caller is reported") {
            val invariants = run({ cancelSome() }) { if (it is HostEffect.CancelAttempt) emptyList() else listOf(it) }
            // The long answers of the second round end after 30 s and release their memory, so check at 5 s.
            invariants.unreleasedMemory().shouldBeEmpty()
            val early = Scenario(seed = 7)
            early.warmUp()
            early.cancelSome()
            early.fleet.mutate = { if (it is HostEffect.CancelAttempt) emptyList() else listOf(it) }
            early.scheduleTraffic()
            early.fleet.queue.runUntil(Scenario.TRAFFIC_START + 5.seconds)
            early.invariants.unreleasedMemory().shouldNotBeEmpty()
        }

        test("a second answer is reported") {
            val invariants = run { if (it is HostEffect.FinishAnswer) listOf(it, it) else listOf(it) }
            invariants.duplicateAnswers().shouldNotBeEmpty()
        }

        test("work started for a withdrawn key is reported") {
            val invariants = run(prepare = {
                fleet.history.withdrawnKeys[KeyHash.of("large-key")] = fleet.now - 11.seconds
            })
            invariants.startsAfterKeyWithdrawal().shouldNotBeEmpty()
        }

        test("token use above rate and burst is reported") {
            val scenario = Scenario(seed = 7)
            scenario.warmUp()
            scenario.scheduleTraffic()
            scenario.fleet.queue.runUntil(Scenario.TRAFFIC_START + 90.seconds)
            val tight = Invariants(scenario.fleet, mapOf(Scenario.SMALL to Invariants.Limit(rate = 1, burst = 100)))
            tight.rateLimitOverruns().shouldNotBeEmpty()
        }

        test("an answer with a gap is reported") {
            val invariants = run { effect ->
                val start = effect as? HostEffect.StartDecode
                listOf(start?.copy(resumeFrom = start.resumeFrom + 5) ?: effect)
            }
            invariants.incorrectAnswers().shouldNotBeEmpty()
        }

        test("an unanswered request is reported") {
            val invariants = run { if (it is HostEffect.FinishAnswer) emptyList() else listOf(it) }
            invariants.incorrectAnswers().shouldNotBeEmpty()
        }

        test("refusing an executed request as not executed is reported") {
            val invariants = run { effect ->
                val end = effect as? HostEffect.FinishAnswer
                listOf(if (end == null) effect else HostEffect.Refuse(end.id, ResultCode.QUEUE_FULL))
            }
            invariants.executionsAfterRefusal().shouldNotBeEmpty()
        }

        test("a second execution of a non-repeatable call is reported") {
            val invariants = run { if (it is HostEffect.CallService) listOf(it, it) else listOf(it) }
            invariants.repeatedExecutions().shouldNotBeEmpty()
        }

        test("work started on a leaving backend server is reported") {
            val invariants = run(prepare = {
                fleet.history.leavingServers[BackendServerId("p0")] = fleet.now - 11.seconds
            })
            invariants.startsOnLeavingServers().shouldNotBeEmpty()
        }

        test("a stream cut off by a planned stop is reported") {
            // The long answers take 30 s, so a drain deadline of 5 s cuts them off.
            val invariants = run({
                fleet.queue.schedule(2.seconds) { fleet.deliver(host(0), HostEvent.DrainRequested(5.seconds)) }
            })
            invariants.requestsCutByDrain().shouldNotBeEmpty()
        }

        test("a return to an earlier release is reported") {
            val invariants = run { effect ->
                val change = effect as? HostEffect.StatusChanged
                listOfNotNull(effect, change?.copy(status = change.status.copy(release = ReleaseNumber(0))))
            }
            invariants.releaseMismatches().shouldNotBeEmpty()
        }
    })
