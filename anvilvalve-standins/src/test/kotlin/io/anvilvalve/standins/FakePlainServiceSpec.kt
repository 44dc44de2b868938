package io.anvilvalve.standins

import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.port.ServiceCall
import io.anvilvalve.api.result.Executed
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.test.runTest

/** Guards against a run count that hides a call that ran twice or includes one that did not run. */
class FakePlainServiceSpec :
    FunSpec({
        fun call(key: String) = ServiceCall(RequestId("r-$key"), "POST", "/pickups", null, ByteArray(0), key)

        class Case(val name: String, val runs: Int, val executed: Executed?, val inject: (PlainServiceFaults) -> Unit)

        listOf(
            Case("no fault", runs = 1, executed = null) {},
            Case("refused", runs = 0, executed = Executed.NO) { it.refusals.next() },
            Case("closed before the run", runs = 0, executed = Executed.UNKNOWN) { it.closedBeforeRun.next() },
            Case("answer lost", runs = 1, executed = Executed.UNKNOWN) { it.lostAnswers.next() },
        ).forEach { case ->
            test("runs are counted: ${case.name}") {
                runTest {
                    val service = FakePlainService()
                    case.inject(service.faults)
                    service.call(call("k")).leftOrNull()?.executed shouldBe case.executed
                    service.runs("k") shouldBe case.runs
                    service.call(call("k")).isRight() shouldBe true
                    service.runs("k") shouldBe case.runs + 1
                    service.runs("other") shouldBe 0
                }
            }
        }
    })
