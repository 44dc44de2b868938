package io.anvilvalve.standins

import io.anvilvalve.api.id.ModelId
import io.anvilvalve.api.port.EngineOrder
import io.anvilvalve.api.port.EngineTarget
import io.anvilvalve.api.release.Role
import io.anvilvalve.api.result.Executed
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.toList
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against an engine stand-in that violates the guarantees on which the router's tests rely. */
@OptIn(ExperimentalCoroutinesApi::class)
class FakeEngineSpec :
    FunSpec({
        test("slots and KV memory are never exceeded and every answer is complete") {
            listOf(1, 2, 3).forEach { seed ->
                runTest {
                    val config = EngineConfig(slots = 5, kvPieces = 12, queueLimit = 500)
                    val pair = EnginePair(this, config)
                    val random = Random(seed)
                    var complete = 0
                    repeat(200) { number ->
                        val request = engineRequest("r$number", random.nextInt(1, 4_000), random.nextInt(1, 60))
                        launch {
                            delay(random.nextInt(4_000).milliseconds)
                            val answer = pair.decode.decode(request, null).toList()
                            if (answer.text() == request.expectedText()) complete++
                        }
                    }
                    testScheduler.advanceUntilIdle()
                    complete shouldBe 200
                    pair.decode.peakSlots shouldBe 5
                    pair.decode.peakPieces shouldBeLessThanOrEqual 12
                    pair.held().shouldBeEmpty()
                }
            }
        }

        test("a prefill result can be decoded within its lifetime and is freed after it") {
            listOf(700.milliseconds to true, 801.milliseconds to false).forEach { (pause, decoded) ->
                runTest {
                    val pair = EnginePair(this)
                    val request = engineRequest("r")
                    val kv = checkNotNull(pair.prefill.prefill(request).getOrNull())
                    delay(pause)
                    val answer = pair.decode.decode(request, kv).toList()
                    (answer.text() == request.expectedText()) shouldBe decoded
                    answer.any { it.leftOrNull()?.executed == Executed.NO } shouldBe !decoded
                    pair.held().shouldBeEmpty()
                }
            }
        }

        test("a prefill that waits for KV memory runs once a result expires") {
            runTest {
                val pair = EnginePair(this, EngineConfig(kvPieces = 2))
                pair.prefill.prefill(engineRequest("a"))
                pair.prefill.prefill(engineRequest("b")).isRight() shouldBe true
            }
        }

        test("transfers share the rate of the receiver's link") {
            runTest {
                val pair = EnginePair(this, EngineConfig(linkBytesPerSecond = 1_000_000_000))
                val handles = listOf("a", "b", "c").map { name ->
                    val request = engineRequest(name, promptTokens = 900, maxTokens = 1)
                    request to checkNotNull(pair.prefill.prefill(request).getOrNull())
                }
                val start = testTimeSource.markNow()
                handles.map { (request, kv) -> launch { pair.decode.decode(request, kv).toList() } }
                testScheduler.advanceUntilIdle()
                // Three transfers of one 131 MB piece each, one after the other at 1 GB/s.
                (start.elapsedNow() >= 393.milliseconds) shouldBe true
            }
        }

        test("an answer resumed at any token has the same text") {
            runTest {
                val pair = EnginePair(this)
                listOf(0, 1, 7, 19).forEach { from ->
                    val request = engineRequest("r", resumeFrom = from).copy(attempt = from)
                    val answer = pair.decode.decode(request, null).toList()
                    answer.text() shouldBe request.expectedText()
                    answer.map { it.getOrNull()?.index } shouldBe (from until 20).toList()
                }
            }
        }

        test("a request with a lower priority number is admitted first") {
            runTest {
                val engine = EnginePair(this, EngineConfig(slots = 1)).decode
                val finished = mutableListOf<String>()
                listOf("first" to 5, "late" to 9, "urgent" to 1, "urgent too" to 1).forEach { (name, priority) ->
                    launch {
                        engine.decode(engineRequest(name, priority = priority), null).toList()
                        finished += name
                    }
                    runCurrent()
                }
                testScheduler.advanceUntilIdle()
                finished shouldBe listOf("first", "urgent", "urgent too", "late")
            }
        }

        test("injected faults change the chunks of a stream as specified") {
            class Case(val name: String, val indices: List<Int>, val inject: (EngineFaults) -> Unit)
            listOf(
                Case("none", listOf(0, 1, 2, 3)) {},
                Case("duplicated", listOf(0, 0, 1, 2, 3)) { it.duplicatedChunks.next() },
                Case("reordered", listOf(1, 0, 2, 3)) { it.reorderedChunks.next() },
                Case("broken", listOf(0, 1)) {
                    it.brokenStreams.next()
                    it.breakAfterTokens = 2
                },
                Case("refused", emptyList()) { it.refusals.next() },
            ).forEach { case ->
                runTest {
                    val engine = EnginePair(this).decode
                    case.inject(engine.faults)
                    val answer = engine.decode(engineRequest(case.name, maxTokens = 4), null).toList()
                    answer.mapNotNull { it.getOrNull()?.index } shouldBe case.indices
                    answer.any { it.getOrNull()?.finishReason != null } shouldBe (3 in case.indices)
                    engine.held().shouldBeEmpty()
                }
            }
        }

        test("a load report lags by up to its interval") {
            runTest {
                val engine = EnginePair(this).decode
                delay(510.milliseconds)
                launch { engine.decode(engineRequest("r", maxTokens = 300), null).toList() }
                advanceTimeBy(400.milliseconds)
                engine.load().getOrNull()?.running shouldBe 0
                engine.load().getOrNull()?.ageMillis shouldBe 410
                advanceTimeBy(100.milliseconds)
                engine.load().getOrNull()?.running shouldBe 1
            }
        }

        test("cache events are delayed, leave a sequence gap when lost, and name the stored prefix") {
            runTest {
                val engine = EnginePair(this, EngineConfig(cachePieces = 2)).prefill
                engine.faults.lostCacheEvents.next()
                val request = engineRequest("r", promptTokens = 3_000)
                val hashes = PromptTokens.prefixHashes(request.prompt)
                engine.prefill(request)
                engine.cacheEvents(0).getOrNull().orEmpty().shouldBeEmpty()
                delay(200.milliseconds)
                val events = engine.cacheEvents(0).getOrNull().orEmpty()
                events.map { it.sequence } shouldBe listOf(2L)
                events.single().prefixHash shouldBe hashes[1]
            }
        }

        test("a cached prefix shortens the prefill") {
            runTest {
                val engine = EnginePair(this).prefill
                val request = engineRequest("r", promptTokens = 10_000)
                val times = listOf(1, 2).map { attempt ->
                    val start = testTimeSource.markNow()
                    engine.prefill(request.copy(attempt = attempt))
                    start.elapsedNow()
                }
                times shouldBe listOf(1.seconds, 1.milliseconds)
            }
        }

        test("orders with an outdated fencing token are refused only if the engine checks it") {
            val target = EngineTarget(Role.PREFILL, mapOf(ModelId("m") to "2"))
            listOf(true, false).forEach { checks ->
                runTest {
                    val engine = EnginePair(this, EngineConfig(checksFencing = checks)).decode
                    engine.order(EngineOrder("a", 7, engine.state().getOrNull()!!))
                    engine.order(EngineOrder("b", 6, target)).leftOrNull()?.status shouldBe 409.takeIf { checks }
                    engine.state().getOrNull()?.role shouldBe Role.DECODE
                    delay(EngineConfig().orderTime)
                    (engine.state().getOrNull() == target) shouldBe !checks
                }
            }
        }

        test("a repeated order does not restart the change") {
            runTest {
                val engine = EnginePair(this).decode
                val target = EngineTarget(Role.PREFILL, mapOf(MODEL to "2"))
                engine.faults.lostOrderAnswers.next()
                engine.order(EngineOrder("a", 1, target)).isLeft() shouldBe true
                delay(1.seconds)
                engine.order(EngineOrder("a", 1, target)).isRight() shouldBe true
                delay(1.seconds)
                engine.state().getOrNull() shouldBe target
            }
        }
    })
