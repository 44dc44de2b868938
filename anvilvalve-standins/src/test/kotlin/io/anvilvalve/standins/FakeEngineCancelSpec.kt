package io.anvilvalve.standins

import io.anvilvalve.api.result.Executed
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldNotBeEmpty
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.cancelAndJoin
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Guards against KV memory that stays allocated after a request is cancelled or its caller has disconnected. */
@OptIn(ExperimentalCoroutinesApi::class)
class FakeEngineCancelSpec :
    FunSpec({
        // Prefill of 1,500 tokens takes 150 ms; the transfer of 2 pieces 26 ms; 20 tokens at least 216 ms.
        class Phase(val name: String, val at: Duration, val prepare: (EnginePair) -> Unit = {})

        val phases = listOf(
            Phase("prefilling", 100.milliseconds),
            Phase("transferring", 160.milliseconds),
            Phase("stalled in transfer", 500.milliseconds) { it.decode.faults.stalledTransfers.next() },
            Phase("decoding", 250.milliseconds),
            Phase("exported without a decode", 300.milliseconds) { it.decode.faults.refusesAll = true },
            Phase("exported with a lost answer", 300.milliseconds) { it.prefill.faults.lostPrefillAnswers.next() },
        )

        suspend fun run(pair: EnginePair) {
            val request = engineRequest("r")
            pair.prefill.prefill(request).onRight { pair.decode.decode(request, it).toList() }
        }

        fun TestScope.pairIn(phase: Phase): EnginePair = EnginePair(this).also(phase.prepare)

        phases.forEach { phase ->
            test("nothing is held after a cancel while ${phase.name}") {
                runTest {
                    val pair = pairIn(phase)
                    val job = launch { run(pair) }
                    advanceTimeBy(phase.at)
                    pair.held().shouldNotBeEmpty()
                    pair.prefill.cancel("r.1")
                    pair.decode.cancel("r.1")
                    pair.held().shouldBeEmpty()
                    job.join()
                    pair.held().shouldBeEmpty()
                }
            }

            test("a repeated cancel while ${phase.name} changes nothing") {
                runTest {
                    val pair = pairIn(phase)
                    val job = launch { run(pair) }
                    advanceTimeBy(phase.at)
                    repeat(3) { pair.prefill.cancel("r.1").isRight() shouldBe true }
                    repeat(3) { pair.decode.cancel("r.1").isRight() shouldBe true }
                    job.join()
                    pair.held().shouldBeEmpty()
                }
            }

            test("nothing is held after the transfer limit if the caller disconnects while ${phase.name}") {
                runTest {
                    val pair = pairIn(phase)
                    val job = launch { run(pair) }
                    advanceTimeBy(phase.at)
                    job.cancelAndJoin()
                    pair.decode.held().shouldBeEmpty()
                    advanceTimeBy(EngineConfig().transferLimit)
                    pair.held().shouldBeEmpty()
                }
            }

            test("nothing is held after both engines are killed while ${phase.name}") {
                runTest {
                    val pair = pairIn(phase)
                    val job = launch { run(pair) }
                    advanceTimeBy(phase.at)
                    pair.prefill.kill()
                    pair.decode.kill()
                    job.join()
                    pair.held().shouldBeEmpty()
                }
            }
        }

        test("a cancel while waiting for a slot ends the wait") {
            runTest {
                val pair = EnginePair(this, EngineConfig(slots = 1))
                val running = launch { pair.decode.decode(engineRequest("a", maxTokens = 500), null).toList() }
                runCurrent()
                val waiting = launch { pair.decode.decode(engineRequest("b"), null).toList() }
                runCurrent()
                pair.decode.cancel("b.1")
                runCurrent()
                waiting.isCompleted shouldBe true
                pair.decode.held() shouldBe listOf("a.1")
                running.cancelAndJoin()
            }
        }

        test("a cancel that arrives before its request refuses the request") {
            runTest {
                val pair = EnginePair(this)
                pair.prefill.cancel("r.1")
                pair.decode.cancel("r.1")
                val request = engineRequest("r")
                pair.prefill.prefill(request).leftOrNull()?.executed shouldBe Executed.NO
                pair.decode.decode(request, null).toList().single().leftOrNull()?.executed shouldBe Executed.NO
                pair.held().shouldBeEmpty()
                pair.prefill.prefill(request.copy(attempt = 2)).isRight() shouldBe true
            }
        }

        test("a cancel takes effect even if its answer is lost") {
            runTest {
                val pair = EnginePair(this)
                pair.prefill.prefill(engineRequest("r"))
                pair.prefill.faults.lostCancelAnswers.next()
                pair.prefill.cancel("r.1").isLeft() shouldBe true
                pair.held().shouldBeEmpty()
            }
        }
    })
