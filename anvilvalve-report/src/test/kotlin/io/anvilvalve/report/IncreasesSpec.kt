package io.anvilvalve.report

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe

/** Guards against growth that is negative, counted twice or spurious when a host restarts or cannot be read. */
class IncreasesSpec :
    FunSpec({
        fun samples(host: String, vararg values: Double?) = values.mapIndexed { index, value ->
            Sample(index * 10L, host, value?.let { listOf(Counter(Measure.REQUESTS, "o", "m", it)) })
        }

        class Case(val name: String, val values: List<Double?>, val growth: List<Double>)

        listOf(
            Case("steady", listOf(5.0, 8.0, 8.0, 10.0), listOf(3.0, 2.0)),
            Case("first sample only", listOf(5.0), emptyList()),
            Case("restart", listOf(5.0, 9.0, 2.0, 3.0), listOf(4.0, 2.0, 1.0)),
            Case("restart without new requests", listOf(5.0, 0.0, 1.0), listOf(1.0)),
            Case("two restarts", listOf(5.0, 1.0, 0.0, 4.0, 3.0), listOf(1.0, 4.0, 3.0)),
            Case("not reachable between", listOf(5.0, null, 7.0), listOf(2.0)),
            Case("not reachable before a restart", listOf(5.0, null, 1.0), listOf(1.0)),
        ).forEach { case ->
            test("growth: ${case.name}") {
                increases(samples("h", *case.values.toTypedArray())).map { it.amount } shouldBe case.growth
            }
        }

        test("one falling counter marks a restart for counters that already exceed their last value") {
            fun sample(atMillis: Long, good: Double, requests: Double) = Sample(
                atMillis,
                "h",
                listOf(Counter(Measure.GOOD_REQUESTS, "o", "m", good), Counter(Measure.REQUESTS, "o", "m", requests)),
            )
            increases(listOf(sample(0, 5.0, 5.0), sample(1, 4.0, 7.0))).map { it.amount } shouldBe listOf(4.0, 7.0)
        }

        test("samples are compared only with samples of the same host") {
            val mixed = samples("a", 100.0, 101.0) + samples("b", 1.0, 3.0)
            increases(mixed).sumOf { it.amount } shouldBe 3.0
        }

        test("a counter that appears later counts from zero") {
            val before = Sample(0, "h", emptyList())
            increases(listOf(before) + samples("h", null, 4.0)).single().amount shouldBe 4.0
        }
    })
