package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.RequestId
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Guards against estimates by which a stopping host refuses what it could serve, or starts what it has to cut off. */
class AnswerTimesSpec :
    FunSpec({
        val configuration = configuration()

        fun request(path: String, outputTokens: Int = 0): LiveRequest {
            val inbound = InboundRequest(RequestId("r"), "maps.example", path, outputTokens = outputTokens)
            val route = configuration.routes.single { it.pathPrefix == path }
            val service = configuration.services.getValue(route.targets.single().service)
            return LiveRequest(inbound, route, service, organisation = null, arrivedAt = Duration.ZERO)
        }

        class Case(val name: String, val path: String, val outputTokens: Int, val millisPerToken: Double)

        /** Answers differ in length, and their actual length from the expected one by a factor of 0.5 to 1.5. */
        class Load(private val case: Case, seed: Int) {
            private val random = Random(seed)

            fun next(): Pair<LiveRequest, Duration> {
                val tokens = (case.outputTokens * (0.2 + 1.6 * random.nextDouble())).toInt()
                val request = request(case.path, tokens)
                val units = if (case.outputTokens == 0) 1 else request.expectedOutputTokens
                return request to (units * case.millisPerToken * (0.5 + random.nextDouble())).toInt().milliseconds
            }
        }

        val cases = listOf(
            Case("calls", "/drawers/", 0, 80.0),
            Case("long answers of a fast engine", "/sheets/", 10_000, 0.55),
            Case("short answers of a slow engine", "/sheets/", 70, 70.0),
        )

        cases.forEach { case ->
            listOf(5, 30, 200).forEach { samples ->
                test(
                    "after $samples ${case.name}, the cautious estimate covers most answers and is not far above them",
                ) {
                    val times = AnswerTimes()
                    val load = Load(case, seed = samples)
                    repeat(samples) { load.next().let { (request, elapsed) -> times.record(request, elapsed) } }
                    val tries = (1..500).map { load.next() }
                    fun share(check: (LiveRequest, Duration) -> Boolean) =
                        tries.count { check(it.first, it.second) } / 500.0
                    share { request, elapsed ->
                        elapsed <= times.expected(request, cautious = true)
                    } shouldBeGreaterThan
                        0.8
                    share { request, elapsed ->
                        times.expected(request, cautious = false) > elapsed * 4
                    } shouldBeLessThan
                        0.1
                }
            }
        }

        test("nothing is expected of a service without measured answers") {
            AnswerTimes().expected(request("/sheets/", outputTokens = 400), cautious = true) shouldBe Duration.ZERO
        }

        test("the expected time of a stream grows with its expected length") {
            val times = AnswerTimes()
            times.record(request("/sheets/", outputTokens = 100), 1_000.milliseconds)
            times.expected(request("/sheets/", outputTokens = 200), cautious = false) shouldBe 2_000.milliseconds
        }
    })
