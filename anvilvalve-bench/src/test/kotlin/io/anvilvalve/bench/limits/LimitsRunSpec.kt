package io.anvilvalve.bench.limits

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.seconds

/** Guards the figures of the limits benchmark: a seed must reproduce them, and they must show an exceeded limit. */
class LimitsRunSpec :
    FunSpec({
        test("the same seed gives the same figures") {
            fun run() = LimitsRun(LimitsWorkload(), LimitsScenario.CRASH, "current", seed = 3).measure()
            run() shouldBe run()
        }

        test("a static split refuses more than the current policy when an organisation sends everything to one host") {
            fun run(policy: String) = LimitsRun(LimitsWorkload(), LimitsScenario.ONE_HOST, policy, seed = 1).measure()
            run("current").refusedWithinRateRatio shouldBeLessThan run("naive").refusedWithinRateRatio / 10
        }

        test("token use beyond burst and rate x time lowers the level of the central bucket below zero") {
            val bucket = CentralBucket(rate = 100.0, burst = 200.0)
            bucket.consume(200.0, 1.seconds)
            bucket.consume(101.0, 2.seconds)
            bucket.level shouldBe -1.0
        }
    })
