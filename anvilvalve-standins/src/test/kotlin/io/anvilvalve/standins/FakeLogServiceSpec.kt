package io.anvilvalve.standins

import io.anvilvalve.api.id.LogOffset
import io.anvilvalve.api.port.LogFault
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.types.shouldBeInstanceOf
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import kotlinx.coroutines.test.testTimeSource
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against a log that loses, reorders or invents records, and against injected faults without effect. */
@OptIn(ExperimentalCoroutinesApi::class)
class FakeLogServiceSpec :
    FunSpec({
        fun record(number: Int) = listOf("record $number".toByteArray())

        suspend fun FakeLogService.all(from: Long = 0): List<String> =
            read(LogOffset(from), limit = 10_000, Duration.ZERO).getOrNull()?.records.orEmpty().map { String(it.data) }

        test("seeded operations match a reference list") {
            runTest {
                val log = FakeLogService(LogServiceConfig(retainedRecords = 50), testTimeSource)
                val expected = mutableListOf<String>()
                val random = Random(seed = 7)
                repeat(2_000) { number ->
                    if (random.nextInt(10) == 0) log.faults.lostAnswers.next()
                    if (random.nextInt(10) == 0) log.faults.lostAppends.next()
                    val end = log.endOffset.value
                    log.append(record(number)).onRight { it.value shouldBe expected.size }
                    if (log.endOffset.value > end) expected += "record $number"
                    delay(10.milliseconds)
                    val from = random.nextInt(maxOf(1, expected.size))
                    val page = log.read(LogOffset(from.toLong()), limit = 20, Duration.ZERO)
                    page.isRight() shouldBe (from >= expected.size - 50)
                    page.onRight { found ->
                        found.records.map { String(it.data) } shouldBe expected.drop(from).take(20)
                        found.end.value shouldBe expected.size
                    }
                }
            }
        }

        test("an append whose answer is lost is readable; a lost append is not") {
            runTest {
                val log = FakeLogService(timeSource = testTimeSource)
                log.faults.lostAnswers.next()
                log.append(record(1)).leftOrNull().shouldBeInstanceOf<LogFault.Unavailable>()
                log.faults.lostAppends.next()
                log.append(record(2)).leftOrNull().shouldBeInstanceOf<LogFault.Unavailable>()
                log.append(record(3)).getOrNull() shouldBe LogOffset(1)
                log.all() shouldBe listOf("record 1", "record 3")
            }
        }

        test("a read before the retained records fails with the first retained offset") {
            runTest {
                val log = FakeLogService(LogServiceConfig(retainedRecords = 3), testTimeSource)
                repeat(5) { log.append(record(it)) }
                log.read(LogOffset(1), 10, Duration.ZERO).leftOrNull() shouldBe LogFault.Truncated(LogOffset(2))
                log.all(from = 2) shouldBe listOf("record 2", "record 3", "record 4")
                log.truncateBefore(LogOffset(5))
                log.read(LogOffset(4), 10, Duration.ZERO).leftOrNull() shouldBe LogFault.Truncated(LogOffset(5))
                log.all(from = 5) shouldBe emptyList()
            }
        }

        test("appends over the rate limit are refused and store nothing") {
            runTest {
                val log = FakeLogService(LogServiceConfig(appendsPerSecond = 100, appendBurst = 10), testTimeSource)
                List(20) { log.append(record(it)) }.count { it.isRight() } shouldBe 10
                log.all().size shouldBe 10
                delay(1.seconds)
                List(20) { log.append(record(it)) }.count { it.isRight() } shouldBe 10
            }
        }

        test("a read waits until an append, its timeout or an outage") {
            class Case(val until: Duration, val right: Boolean, val act: suspend (FakeLogService) -> Unit)
            listOf(
                Case(5.seconds, right = true) {},
                Case(1.seconds, right = true) { it.append(record(1)) },
                Case(1.seconds, right = false) { it.faults.down = true },
            ).forEach { case ->
                runTest {
                    val log = FakeLogService(timeSource = testTimeSource)
                    val start = testTimeSource.markNow()
                    val read = async { log.read(LogOffset(0), 10, 5.seconds) to start.elapsedNow() }
                    delay(1.seconds)
                    case.act(log)
                    runCurrent()
                    val (result, time) = read.await()
                    result.isRight() shouldBe case.right
                    time shouldBe case.until
                }
            }
        }

        test("a slow log delays its answers, and a log in an outage stores nothing") {
            runTest {
                val log = FakeLogService(timeSource = testTimeSource)
                log.faults.delay = 3.seconds
                val start = testTimeSource.markNow()
                log.append(record(1)).isRight() shouldBe true
                start.elapsedNow() shouldBe 3.seconds
                log.faults.down = true
                log.append(record(2)).isLeft() shouldBe true
                log.faults.down = false
                log.all() shouldBe listOf("record 1")
            }
        }
    })
