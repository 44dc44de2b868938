package io.anvilvalve.rules.scheduling

import io.anvilvalve.api.port.CacheEvent
import io.anvilvalve.api.port.LoadReport
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.shouldBe
import kotlin.random.Random

class EstimatesSpec :
    FunSpec({
        test("a linear estimate fits noisy observations and follows a change of speed") {
            val random = Random(1)
            val estimate = LinearEstimate(5_000.0, 50.0)
            fun observe(speed: Double) = repeat(200) {
                val tokens = 100.0 + random.nextInt(10_000)
                estimate.observe(tokens, (8_000 + 80 * tokens) / speed * (0.95 + random.nextDouble() / 10))
            }
            observe(1.0)
            estimate.predict(5_000.0) shouldBe (408_000.0 plusOrMinus 20_000.0)
            observe(2.0)
            estimate.predict(5_000.0) shouldBe (204_000.0 plusOrMinus 10_000.0)
        }

        test("observations at one point scale the prior and do not divide by zero") {
            val estimate = LinearEstimate(10_000.0, 1_000.0)
            repeat(50) { estimate.observe(20.0, 60_000.0) }
            estimate.predict(20.0) shouldBe (60_000.0 plusOrMinus 1.0)
            estimate.predict(10.0) shouldBe (40_000.0 plusOrMinus 1_000.0)
        }

        test("late and repeated cache events are ignored, and entries from before a sequence gap count less") {
            val index = PrefixIndex()
            index.applyEvents(listOf(CacheEvent(1, true, 10), CacheEvent(2, true, 20)))
            index.applyEvents(listOf(CacheEvent(1, false, 10)))
            index.expectedHits(listOf(10, 20, 30)) shouldBe 2.0
            index.applyEvents(listOf(CacheEvent(5, true, 30)))
            index.expectedHits(listOf(10, 20, 30)) shouldBe 2.0
            index.expectedHits(listOf(30)) shouldBe 1.0
            index.applyEvents(listOf(CacheEvent(6, false, 10)))
            index.expectedHits(listOf(10, 20, 30)) shouldBe 0.0
        }

        test("external load is the report less the own load at its time, and decays with age") {
            val load = ReportedLoad()
            fun report(sequence: Long, running: Int, age: Long) =
                LoadReport(sequence, running, 0, 400, 400, listOf(MODEL), ageMillis = age)
            load.recordHeld(0, 10, 0)
            load.applyReport(report(1, 18, age = 0), 1_000_000)
            load.externalRunning(1_000_000) shouldBe 8
            load.externalRunning(3_000_000) shouldBe 2
            load.applyReport(report(1, 50, age = 0), 3_000_000)
            load.externalRunning(3_000_000) shouldBe 2
            // Own work that ended after the report was written is not external load.
            load.recordHeld(4_000_000, 2, 0)
            load.applyReport(report(2, 10, age = 900), 4_500_000)
            load.externalRunning(4_500_000) shouldBe 0
        }

        test("the end probability of an answer follows the recorded lengths") {
            val lengths = AnswerLengths()
            lengths.endProbability(10) shouldBe 0.0
            repeat(500) { lengths.observe(100) }
            lengths.endProbability(10) shouldBe 0.0
            (lengths.endProbability(100) > 0.01) shouldBe true
        }
    })
