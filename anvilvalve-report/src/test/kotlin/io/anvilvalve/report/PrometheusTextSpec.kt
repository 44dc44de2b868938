package io.anvilvalve.report

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlin.random.Random

/** Guards against counters that are misread or lost because of their labels or of other lines. */
class PrometheusTextSpec :
    FunSpec({
        class Case(val line: String, val expected: MetricLine?)

        test("well-formed lines are parsed and other lines are skipped") {
            listOf(
                Case("a 1", MetricLine("a", emptyMap(), 1.0)),
                Case("a{} 1", MetricLine("a", emptyMap(), 1.0)),
                Case("a{x=\"1\"} 2.5 1700000000000", MetricLine("a", mapOf("x" to "1"), 2.5)),
                Case("a{x=\"1\",y=\"2\",} 1e3", MetricLine("a", mapOf("x" to "1", "y" to "2"), 1_000.0)),
                Case("a{x=\"}, \\\"q\\\" \\\\ \\n\"} 1", MetricLine("a", mapOf("x" to "}, \"q\" \\ \n"), 1.0)),
                Case("a{le=\"+Inf\"} +Inf", MetricLine("a", mapOf("le" to "+Inf"), Double.POSITIVE_INFINITY)),
                Case("  # HELP a b", null),
                Case("", null),
                Case("a", null),
                Case("a{x=\"1\" 1", null),
                Case("a{x=1} 1", null),
                Case("a{x=\"1} 1", null),
                Case("a one", null),
            ).forEach { PrometheusText.parse(it.line) shouldBe listOfNotNull(it.expected) }
        }

        test("parsing damaged text never throws") {
            val text = "anvilvalve_requests_total{organisation=\"a\\\"b\",code=\"ok\"} 12\n# TYPE x counter\nx 1\n"
            val random = Random(seed = 3)
            repeat(5_000) {
                val damaged = text.toCharArray()
                repeat(3) { damaged[random.nextInt(damaged.size)] = random.nextInt(32, 127).toChar() }
                PrometheusText.parse(String(damaged).take(random.nextInt(text.length)))
            }
        }

        test("counters of the report are summed over classes and codes") {
            val text = """
                # TYPE anvilvalve_requests_total counter
                anvilvalve_requests_total{organisation="o",model="m",class="interactive",code="ok"} 3
                anvilvalve_requests_total{organisation="o",model="m",class="batch",code="AV-1201"} 4
                anvilvalve_first_token_seconds_bucket{organisation="o",model="m",le="1.0"} 1
                anvilvalve_first_token_seconds_bucket{organisation="o",model="m",le="1.5"} 2
                anvilvalve_first_token_seconds_bucket{organisation="o",model="m",le="+Inf"} 5
                anvilvalve_first_token_seconds_count{organisation="o",model="m"} 5
                anvilvalve_refused_within_rate_total{organisation="o"} 1
                anvilvalve_running_requests 9
            """.trimIndent()
            Sample.of(7, "h", text).counters shouldBe listOf(
                Counter(Measure.REQUESTS, "o", "m", 7.0),
                Counter(Measure.FIRST_TOKENS_MET, "o", "m", 2.0),
                Counter(Measure.FIRST_TOKENS, "o", "m", 5.0),
                Counter(Measure.REFUSED_WITHIN_RATE, "o", "", 1.0),
            )
        }
    })
