package io.anvilvalve.rules.scheduling

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.seconds

class CircuitBreakerSpec :
    FunSpec({
        val second = 1_000_000L

        fun opened() = CircuitBreaker(BreakerSettings(threshold = 3, openTime = 1.seconds)).apply {
            List(3) { recordFailure(0) } shouldContainExactly listOf(false, false, true)
        }

        test("an open breaker admits no request until its open time ends, and then one probe") {
            opened().apply {
                concurrencyLimit(second - 1) shouldBe 0
                concurrencyLimit(second) shouldBe 1
            }
        }

        test("the concurrency limit of a recovering server doubles with each success") {
            opened().apply {
                recordSuccess() shouldBe true
                List(4) {
                    recordSuccess()
                    concurrencyLimit(second)
                } shouldContainExactly listOf(4, 8, 16, 32)
            }
        }

        test("a failed probe doubles the open time, and one failure during recovery opens the breaker again") {
            opened().apply {
                recordFailure(second) shouldBe false
                concurrencyLimit(2 * second) shouldBe 0
                concurrencyLimit(3 * second) shouldBe 1
                recordSuccess() shouldBe true
                recordFailure(3 * second) shouldBe true
            }
        }

        test("failures of requests sent before the breaker opened do not prolong its open time") {
            opened().apply {
                repeat(20) { recordFailure(second / 2) shouldBe false }
                concurrencyLimit(second) shouldBe 1
            }
        }
    })
