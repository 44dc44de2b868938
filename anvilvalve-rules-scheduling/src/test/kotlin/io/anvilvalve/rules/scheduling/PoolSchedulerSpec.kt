package io.anvilvalve.rules.scheduling

import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.peer.Phase
import io.anvilvalve.api.peer.PlacementOutcome.Placed
import io.anvilvalve.api.peer.PlacementOutcome.Refused
import io.anvilvalve.api.release.Role
import io.anvilvalve.api.result.ResultCode
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.maps.shouldContainKey
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

class PoolSchedulerSpec :
    FunSpec({
        val prefill = server("p", Role.PREFILL)
        val decode = server("d", Role.DECODE, slots = 1)

        test("a prefill does not start without a decode slot, which would waste it") {
            val driver = Driver(prefill, decode)
            driver.submit(item("1")).shouldBeInstanceOf<Placed>()
            driver.report("1", Phase.PREFILL_FINISHED)
            driver.submit(item("2")) shouldBe null
            driver.report("1", Phase.FIRST_TOKEN)
            driver.report("1", Phase.DECODE_FINISHED, tokens = 100) shouldContainKey "2"
        }

        test("waiting work is refused as not run when its deadline can no longer be met") {
            val driver = Driver(prefill, decode)
            driver.submit(item("1"))
            driver.submit(item("2")) shouldBe null
            driver.tick(1_490.milliseconds)["2"] shouldBe Refused(ResultCode.DEADLINE_UNREACHABLE)
        }

        test("a repeated or late end frees the slot once") {
            val driver = Driver(prefill, decode)
            driver.submit(item("1"))
            repeat(3) { driver.report("1", Phase.DECODE_FAILED) }
            driver.report("1", Phase.PREFILL_STARTED)
            driver.send(SchedulingEvent.Withdrawn(RequestId("1")))
            driver.held("d") shouldBe (0 to 0)
            driver.held("p") shouldBe (0 to 0)
        }

        test("a repeated submit gets the same answer and holds nothing more") {
            val driver = Driver(prefill, decode)
            val placed = driver.submit(item("1"))
            driver.submit(item("1")) shouldBe placed
            driver.held("d") shouldBe (1 to 2)
        }

        test("a decode lost after prefill is placed again at the holder of the result") {
            val driver =
                Driver(server("p", Role.PREFILL), server("p2", Role.PREFILL), decode, server("d2", Role.DECODE))
            val first = driver.submit(item("1")) as Placed
            driver.now += 50.milliseconds
            driver.report("1", Phase.PREFILL_FINISHED)
            driver.report("1", Phase.DECODE_FAILED)
            val second = driver.submit(item("1"), attempt = 2) as Placed
            second.prefill shouldBe first.prefill
            (second.decode == first.decode) shouldBe false
            driver.held("p") shouldBe (0 to 0)
        }

        test("a leaving server gets no new work") {
            val driver = Driver(prefill, decode)
            driver.servers(prefill, server("d", Role.DECODE, leaving = true))
            driver.submit(item("1")) shouldBe null
        }

        test("a placement that the origin never started is released") {
            val driver = Driver(prefill, decode)
            driver.submit(item("1"))
            driver.tick(6.seconds)
            driver.held("d") shouldBe (0 to 0)
        }
    })
