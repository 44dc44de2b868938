package io.anvilvalve.cli

import io.anvilvalve.api.BinaryCodec
import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.id.LogOffset
import io.anvilvalve.api.id.ReleaseNumber
import io.anvilvalve.api.log.LogCodec
import io.anvilvalve.api.port.LogService
import io.anvilvalve.api.release.Release
import io.anvilvalve.api.result.ResultCode
import io.anvilvalve.rules.release.ReleaseSnapshot
import io.anvilvalve.rules.release.SnapshotCodec
import io.anvilvalve.standins.FakeLogService
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import kotlinx.coroutines.test.runTest
import kotlinx.serialization.Serializable
import kotlin.time.Duration.Companion.seconds

/** Snapshot with one field that the client reads and one that it skips. */
@Serializable
private data class StoredState(val fleet: String, val release: ReleaseSnapshot)

/** Runs [hook] just before the client's first append, for example an append by another operator or an outage. */
private class HookedLog(private val log: FakeLogService, private val hook: suspend () -> Unit) : LogService by log {
    private var hasAppended = false

    override suspend fun append(records: List<ByteArray>) = run {
        if (!hasAppended) hook()
        hasAppended = true
        log.append(records)
    }
}

/**
 * Guards against a note that takes effect twice, or that takes effect although a failure is reported, when an append or
 * its response is lost, and against a wrong winner in the message when two operators publish at the same time.
 */
class ReleaseActionsSpec :
    FunSpec({
        fun actions(log: LogService) = ReleaseActions(log, 30.seconds)

        listOf<Pair<String, FakeLogService.() -> Unit>>(
            "no fault" to {},
            "a lost answer" to { faults.lostAnswers.next(1) },
            "two lost answers" to { faults.lostAnswers.next(2) },
            "a lost append" to { faults.lostAppends.next(1) },
            "a lost append and a lost answer" to {
                faults.lostAppends.next(1)
                faults.lostAnswers.next(1)
            },
        ).forEach { (name, inject) ->
            test("a note takes effect once after $name") {
                runTest {
                    val log = FakeLogService()
                    log.inject()
                    actions(log).publish(note("n", 0)).exit shouldBe ExitCode.OK
                    actions(log).publish(note("n", 0)).exit shouldBe ExitCode.OK
                    LogReader(log).read().getOrNull()?.release?.number shouldBe ReleaseNumber(1)
                }
            }
        }

        test("publishing an outdated note names the note that was accepted instead") {
            runTest {
                val log = FakeLogService()
                val outcome = actions(HookedLog(log) { log.append(note("theirs", 0)) }).publish(note("mine", 0))
                outcome.exit shouldBe ExitCode.OUTDATED
                outcome.code shouldBe ResultCode.NOTE_OUTDATED
                outcome.lines shouldContain "release 1 was made by note theirs of op"
            }
        }

        test("publishing is rejected when the log has a note with the same id but other content") {
            runTest {
                val log = FakeLogService()
                log.append(note("n", 0, model = "x"))
                actions(log).publish(note("n", 0, model = "y")).exit shouldBe ExitCode.REJECTED
            }
        }

        test("the message distinguishes an outage before publishing from one during publishing") {
            runTest {
                val log = FakeLogService()
                log.faults.down = true
                actions(log).publish(note("n", 0)).lines.single() shouldContain "nothing was published"
                log.faults.down = false
                val outcome = actions(HookedLog(log) { log.faults.down = true }).publish(note("n", 0))
                outcome.exit shouldBe ExitCode.LOG_UNAVAILABLE
                outcome.lines.single() shouldContain "may take effect later"
            }
        }

        test("validate and publish list all faults and append nothing") {
            runTest {
                val log = FakeLogService()
                val faulty = note("a b", 0, model = "m").let { it.copy(changes = it.changes + it.changes) }
                listOf(actions(log).validate(faulty), actions(log).publish(faulty)).forEach { outcome ->
                    outcome.exit shouldBe ExitCode.REJECTED
                    outcome.lines.size shouldBe 2
                }
                log.endOffset shouldBe LogOffset(0)
            }
        }

        test("the release is restored from a snapshot when the log is truncated") {
            runTest {
                val log = FakeLogService()
                log.append(note("n0", 0))
                val state = ReleaseSnapshot(release = Release(ReleaseNumber(41)))
                val bytes = BinaryCodec.encode(StoredState.serializer(), StoredState("skipped", state))
                log.append(SnapshotCodec().split("s", LogOffset(0), bytes).map { LogCodec.encode(it) })
                log.append(note("n1", 41))
                log.truncateBefore(LogOffset(1))
                LogReader(log).read().getOrNull()?.release?.number shouldBe ReleaseNumber(42)
                log.truncateBefore(LogOffset(2))
                withClue("the release cannot be rebuilt without a snapshot") {
                    actions(log).history(5).exit shouldBe ExitCode.LOG_UNAVAILABLE
                }
            }
        }

        test("diff lists an added entry, and nothing for an unchanged entry") {
            runTest {
                val log = FakeLogService()
                log.append(note("n0", 0, model = "m"))
                actions(log).diff(note("n1", 1, model = "x")).lines shouldBe listOf("+ models x")
                val model = note("n1", 1, model = "m")
                actions(log).diff(model).lines shouldBe listOf("no difference")
            }
        }

        test("a host is declared gone once, even if another note is accepted in between") {
            runTest {
                val log = FakeLogService()
                val hookedLog = HookedLog(log) { log.append(note("theirs", 0)) }
                actions(hookedLog).hostGone(Incarnation("h#1"), "op").exit shouldBe ExitCode.OK
                actions(log).hostGone(Incarnation("h#1"), "op").exit shouldBe ExitCode.OK
                LogReader(log).read().getOrNull()?.release?.number shouldBe ReleaseNumber(2)
            }
        }
    })
