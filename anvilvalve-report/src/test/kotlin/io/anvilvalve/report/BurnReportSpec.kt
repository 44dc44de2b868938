package io.anvilvalve.report

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.plusOrMinus
import io.kotest.matchers.shouldBe
import kotlin.random.Random
import kotlin.time.Duration.Companion.hours

private const val MIN_COUNT = 15.0

/** Guards against a burn that differs from a direct count of the answers, in particular when hosts restart. */
class BurnReportSpec :
    FunSpec({
        class Answer(val step: Int, val host: Int, val key: ServiceKey, val firstMet: Boolean, val gapMet: Boolean)

        val keys = listOf(ServiceKey("a", "m"), ServiceKey("a", "n"), ServiceKey("b", "m"))
        val stepMillis = 60_000L
        val steps = 80 * 60

        fun answers(random: Random) = List(40_000) {
            val key = keys.random(random)
            val missRate = if (key == keys[2]) 0.2 else 0.03
            Answer(
                random.nextInt(steps),
                random.nextInt(3),
                key,
                random.nextDouble() > missRate,
                random.nextDouble() > 0.05,
            )
        }

        /** Scrapes three hosts in each step; [restarts] decides from a host's largest count if it restarts next. */
        fun scrape(answers: List<Answer>, restarts: (Double) -> Boolean): List<Sample> {
            val counts = List(3) { HashMap<CounterKey, Double>() }
            val byStep = answers.groupBy { it.step }
            val first = (0 until 3).map { Sample(0, "h$it", emptyList()) }
            return first + (0 until steps).flatMap { step ->
                byStep[step].orEmpty().forEach { answer ->
                    fun count(measure: Measure) = counts[answer.host]
                        .merge(CounterKey(measure, answer.key.organisation, answer.key.model), 1.0, Double::plus)
                    count(Measure.FIRST_TOKENS)
                    count(Measure.TOKEN_GAPS)
                    if (answer.firstMet) count(Measure.FIRST_TOKENS_MET)
                    if (answer.gapMet) count(Measure.TOKEN_GAPS_MET)
                }
                (0 until 3).map { host ->
                    val counters = counts[host].map { (key, value) ->
                        Counter(key.measure, key.organisation, key.model, value)
                    }
                    if (restarts(counts[host].values.maxOrNull() ?: 0.0)) counts[host].clear()
                    Sample((step + 1) * stepMillis, "h$host", counters)
                }
            }
        }

        test("burn matches a direct count with and without restarts") {
            for (restartRate in listOf(0.0, 0.01, 0.2)) {
                val random = Random(seed = 11)
                val answers = answers(random)
                // A restart is visible only if a counter falls, so the count must exceed the growth within one step.
                val samples = scrape(answers) { largest -> largest >= MIN_COUNT && random.nextDouble() < restartRate }
                val report = BurnReport.of(samples, steps * stepMillis)
                report.services.size shouldBe keys.size
                for (service in report.services) {
                    for (window in Window.entries) {
                        val from = steps - window.length.inWholeMilliseconds / stepMillis
                        val seen = answers.filter { it.key == service.key && it.step >= from }
                        val expected = mapOf(
                            Target.FIRST_TOKEN to seen.count { !it.firstMet } / 0.05 / seen.size,
                            Target.TOKEN_GAP to seen.count { !it.gapMet } / 0.05 / seen.size,
                        )
                        if (restartRate == 0.0) {
                            service.total(window)[Measure.FIRST_TOKENS] shouldBe seen.size.toDouble()
                        }
                        Target.entries.filter { seen.isNotEmpty() }.forEach { target ->
                            service.burn(window, target) shouldBe (expected.getValue(target) plusOrMinus 1e-9)
                        }
                    }
                }
                report.services.first().key shouldBe keys[2]
            }
        }

        test("burn stays within 0 and 20 when hosts restart at any time") {
            val random = Random(seed = 5)
            val answers = answers(random)
            val samples = scrape(answers) { random.nextInt(20) == 0 }.filter { random.nextInt(3) > 0 }
            val report = BurnReport.of(samples, steps * stepMillis)
            val burns = report.services.flatMap { service ->
                Window.entries.flatMap { window -> Target.entries.mapNotNull { service.burn(window, it) } }
            }
            burns.all { it in 0.0..20.0 } shouldBe true
            val counted = report.fleet.getValue(Window.THREE_DAYS)[Measure.FIRST_TOKENS]
            (counted <= answers.size) shouldBe true
        }

        test("fast burn and over budget need a short and a long window") {
            fun state(missedInLastHour: Int, missedBefore: Int): BurnState {
                fun answers(count: Int, missed: Int, step: Int) =
                    List(count) { Answer(step, 0, keys[0], firstMet = it >= missed, gapMet = true) }
                val recent = answers(100, missedInLastHour, steps - 1)
                val before = answers(1_000, missedBefore, steps - 120)
                val samples = scrape(recent + before) { false }
                return BurnReport.of(samples, steps * stepMillis).services.single().state
            }
            state(missedInLastHour = 2, missedBefore = 0) shouldBe BurnState.OK
            state(missedInLastHour = 10, missedBefore = 0) shouldBe BurnState.WATCH
            state(missedInLastHour = 0, missedBefore = 100) shouldBe BurnState.OVER_BUDGET
            state(missedInLastHour = 40, missedBefore = 0) shouldBe BurnState.FAST
        }

        test("wasted prefill is a share for the fleet, and refusals are counts by organisation") {
            fun sample(atMillis: Long, factor: Double) = Sample(
                atMillis,
                "h",
                listOf(
                    Counter(Measure.PREFILL_TOKENS, "", "m", 1_000 * factor),
                    Counter(Measure.WASTED_PREFILL_TOKENS, "", "m", 20 * factor),
                    Counter(Measure.REFUSED_WITHIN_RATE, "o", "", 3 * factor),
                ),
            )
            val hour = 1.hours.inWholeMilliseconds
            val report = BurnReport.of(listOf(sample(0, 1.0), sample(hour, 2.0), Sample(hour, "gone")), 2 * hour - 1)
            val hourTotals = report.fleet.getValue(Window.ONE_HOUR)
            hourTotals.share(Measure.WASTED_PREFILL_TOKENS, Measure.PREFILL_TOKENS) shouldBe 0.02
            report.refusals.getValue("o").getValue(Window.FIVE_MINUTES) shouldBe 0.0
            report.refusals.getValue("o").getValue(Window.ONE_HOUR) shouldBe 3.0
            report.services shouldBe emptyList()
            report.unreachable shouldBe listOf("gone")
        }
    })
