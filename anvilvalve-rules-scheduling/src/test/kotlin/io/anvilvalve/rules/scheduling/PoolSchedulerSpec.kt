package io.anvilvalve.rules.scheduling

import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.peer.Phase
import io.anvilvalve.api.peer.PlacementOutcome.Placed
import io.anvilvalve.api.peer.PlacementOutcome.Refused
import io.anvilvalve.api.peer.WorkClass
import io.anvilvalve.api.port.CacheEvent
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

        test("a prefill does not start without a decode slot, because its result would be wasted") {
            val driver = Driver(prefill, decode)
            driver.submit(item("1")).shouldBeInstanceOf<Placed>()
            driver.report("1", Phase.PREFILL_FINISHED)
            driver.submit(item("2")) shouldBe null
            driver.report("1", Phase.FIRST_TOKEN)
            driver.report("1", Phase.DECODE_FINISHED, tokens = 100) shouldContainKey "2"
        }

        test("waiting work is refused when its deadline can no longer be met, and the refusal is repeated") {
            val driver = Driver(prefill, decode)
            driver.submit(item("1"))
            driver.submit(item("2")) shouldBe null
            driver.tick(1_490.milliseconds)["2"] shouldBe Refused(ResultCode.DEADLINE_UNREACHABLE)
            // The first reply may have been lost.
            driver.submit(item("2")) shouldBe Refused(ResultCode.DEADLINE_UNREACHABLE)
        }

        test("a repeated or late end report releases the slot once") {
            val driver = Driver(prefill, decode)
            driver.submit(item("1"))
            repeat(3) { driver.report("1", Phase.DECODE_FAILED) }
            driver.report("1", Phase.PREFILL_STARTED)
            driver.send(SchedulingEvent.Withdrawn(RequestId("1")))
            driver.held("d") shouldBe (0 to 0)
            driver.held("p") shouldBe (0 to 0)
        }

        test("a repeated submit gets the same reply and reserves nothing more") {
            val driver = Driver(prefill, decode)
            val placed = driver.submit(item("1"))
            driver.submit(item("1")) shouldBe placed
            driver.held("d") shouldBe (1 to 2)
        }

        test("an attempt after a failed decode uses the prefill result and another decode server") {
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

        test("a prompt that would be late even on an idle server runs, so that a wrong estimate is corrected") {
            val driver = Driver(prefill, decode)
            driver.submit(item("1", prompt = 10_000)).shouldBeInstanceOf<Placed>()
            driver.now += 60.seconds
            driver.report("1", Phase.PREFILL_FINISHED)
            driver.report("1", Phase.FIRST_TOKEN)
            driver.report("1", Phase.DECODE_FINISHED, tokens = 100)
            driver.submit(item("2", prompt = 10_000)).shouldBeInstanceOf<Placed>()
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

        test("a decode server gets no more requests than its target time between tokens allows") {
            val driver = Driver(prefill, server("d", Role.DECODE, slots = 20))
            repeat(60) {
                driver.submit(item("$it", output = 50)).shouldBeInstanceOf<Placed>()
                driver.report("$it", Phase.PREFILL_FINISHED)
                driver.report("$it", Phase.FIRST_TOKEN)
                driver.now += 50.milliseconds * 30
                // At 30 ms per token, even a single request is slower than the target.
                driver.report("$it", Phase.DECODE_FINISHED, tokens = 50, spent = 30.milliseconds * 50)
            }
            driver.submit(item("a")).shouldBeInstanceOf<Placed>()
            driver.report("a", Phase.PREFILL_FINISHED)
            driver.submit(item("b")) shouldBe null
        }

        test("work is placed in another data centre only when the decode servers of its own data centre are full") {
            val near = server("near", Role.DECODE, slots = 2)
            val far = server("far", Role.DECODE, slots = 2, centre = "b")
            val driver = Driver(prefill, far, near)
            val decodes = (1..4).map { number ->
                (driver.submit(item("$number")) as Placed).decode.value.also {
                    driver.report("$number", Phase.PREFILL_FINISHED)
                }
            }
            decodes.sorted() shouldBe listOf("far", "far", "near", "near")
            decodes.first() shouldBe "near"
        }

        test("a prefill is placed at the server that has its prefix cached") {
            val driver = Driver(server("p1", Role.PREFILL), server("p2", Role.PREFILL), server("d", Role.DECODE))
            val events = listOf(CacheEvent(1, true, 7), CacheEvent(2, true, 8))
            driver.send(SchedulingEvent.CacheReported(BackendServerId("p2"), events))
            val placed = driver.submit(item("1", prompt = 2_500, prefixes = listOf(7, 8))) as Placed
            placed.prefill.value shouldBe "p2"
        }

        test("retries beyond the retry budget are refused, so that failures do not multiply the load") {
            val settings = SchedulingSettings(retryBurst = 2.0, breaker = BreakerSettings(threshold = 100))
            val driver = Driver(prefill, server("d", Role.DECODE), settings = settings)
            val outcomes = (1..4).map {
                driver.submit(item("1"), attempt = it).also { _ ->
                    driver.report("1", Phase.PREFILL_FAILED, attempt = it)
                }
            }
            outcomes.take(3).forEach { it.shouldBeInstanceOf<Placed>() }
            outcomes.last() shouldBe Refused(ResultCode.NO_BACKEND_SERVER)
        }

        test("a failing server gets no work until its probe, and its recovery is reported once") {
            val driver = Driver(prefill, decode)
            repeat(3) {
                driver.submit(item("$it"))
                driver.report("$it", Phase.DECODE_FAILED)
            }
            driver.submit(item("a")) shouldBe null
            driver.tick(1.seconds).keys shouldBe setOf("a")
            val recovered = driver.send(
                SchedulingEvent.Progressed(RequestId("a"), 1, Phase.FIRST_TOKEN, 1, 20.milliseconds),
            )
            recovered shouldBe listOf(SchedulingEffect.HealthChanged(BackendServerId("d"), true))
        }

        test("a new pool owner counts announced work and releases it once") {
            val driver = Driver(prefill, decode)
            val placed = Placed(BackendServerId("p"), BackendServerId("d"))
            repeat(2) { driver.send(SchedulingEvent.RunningAnnounced(item("1"), 1, placed)) }
            driver.held("d") shouldBe (1 to 2)
            driver.submit(item("2")) shouldBe null
            driver.report("1", Phase.DECODE_FINISHED, tokens = 10) shouldContainKey "2"
            driver.send(SchedulingEvent.RunningAnnounced(item("1"), 1, placed))
            driver.held("d") shouldBe (1 to 2)
        }

        test("long batch prefills leave a prefill server for short interactive work") {
            val driver = Driver(server("p1", Role.PREFILL), server("p2", Role.PREFILL), server("d", Role.DECODE))
            val batch = listOf("1", "2").map {
                driver.submit(item(it, workClass = WorkClass.BATCH, prompt = 20_000, budget = 60.seconds))
            }
            batch.first().shouldBeInstanceOf<Placed>()
            batch.last() shouldBe null
            driver.submit(item("3", prompt = 200)).shouldBeInstanceOf<Placed>()
        }

        test("a pool with one prefill server still runs long batch prefills") {
            val driver = Driver(prefill, server("d", Role.DECODE))
            driver.submit(item("1", workClass = WorkClass.BATCH, prompt = 20_000, budget = 60.seconds))
                .shouldBeInstanceOf<Placed>()
        }

        test("a server that is removed and added again keeps the count of the work that it holds") {
            val driver = Driver(prefill, decode)
            driver.submit(item("1"))
            driver.servers(prefill)
            driver.servers(prefill, decode)
            driver.held("d") shouldBe (1 to 2)
            driver.submit(item("2")) shouldBe null
        }
    })
