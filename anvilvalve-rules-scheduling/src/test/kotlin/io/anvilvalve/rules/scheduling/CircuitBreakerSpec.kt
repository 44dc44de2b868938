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

        test("an open breaker lets nothing through and then one probe") {
            opened().apply {
                concurrencyLimit(second - 1) shouldBe 0
                concurrencyLimit(second) shouldBe 1
            }
        }

        test("a recovered server is not flooded: its allowance doubles with each success") {
            opened().apply {
                recordSuccess() shouldBe true
                List(4) {
                    recordSuccess()
                    concurrencyLimit(second)
                } shouldContainExactly listOf(4, 8, 16, 32)
            }
        }

        test("a failed probe doubles the wait, and a failure while recovering opens again") {
            opened().apply {
                recordFailure(second) shouldBe false
                concurrencyLimit(2 * second) shouldBe 0
                concurrencyLimit(3 * second) shouldBe 1
                recordSuccess() shouldBe true
                recordFailure(3 * second) shouldBe true
            }
        }

        test("failures of requests that were sent before the breaker opened do not prolong it") {
            opened().apply {
                repeat(20) { recordFailure(second / 2) shouldBe false }
                concurrencyLimit(second) shouldBe 1
            }
        }
    })
