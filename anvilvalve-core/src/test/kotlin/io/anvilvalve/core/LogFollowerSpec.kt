package io.anvilvalve.core

import arrow.core.left
import arrow.core.right
import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.id.LogOffset
import io.anvilvalve.api.log.LogCodec
import io.anvilvalve.api.log.LogRecord
import io.anvilvalve.api.port.LogFault
import io.anvilvalve.api.port.LogPage
import io.anvilvalve.api.port.StoredRecord
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Guards against state that moves backwards or skips records when the log is reread, truncated or lost. */
class LogFollowerSpec :
    FunSpec({
        class Recorder : LogFollower.Sink {
            val applied = ArrayList<Long>()
            var tails = 0
            var failures = 0
            var follower: LogFollower? = null

            override fun apply(offset: LogOffset, record: LogRecord, bytes: ByteArray) {
                applied += offset.value
            }

            override fun offerSnapshot(offset: LogOffset, chunk: LogRecord.SnapshotChunk): LogOffset? =
                chunk.covered.takeIf { checkNotNull(follower).advanceTo(it) }

            override fun tailReached(sentAt: Duration) {
                tails++
            }

            override fun failed() {
                failures++
            }
        }

        fun bytes(n: Long) = LogCodec.encode(LogRecord.HostLeft(Incarnation("h#$n")))

        fun snapshot(covered: Long) =
            LogCodec.encode(LogRecord.SnapshotChunk("s", LogOffset(covered), 0, 1, "", ByteArray(0)))

        fun page(first: Long, end: Long, records: List<Pair<Long, ByteArray>>) =
            LogPage(LogOffset(first), LogOffset(end), records.map { (o, b) -> StoredRecord(LogOffset(o), b) }).right()

        fun follower(): Triple<LogFollower, Recorder, Outbox> {
            val out = Outbox()
            val sink = Recorder()
            val follower = LogFollower(out, Random(1), sink)
            sink.follower = follower
            follower.start()
            return Triple(follower, sink, out)
        }

        test("records are applied once and in order, even if they are read again") {
            val (follower, sink, _) = follower()
            follower.onRead(Duration.ZERO, page(0, 3, listOf(0L to bytes(0), 1L to bytes(1))))
            follower.onRead(Duration.ZERO, page(0, 3, listOf(0L to bytes(0), 1L to bytes(1), 2L to bytes(2))))
            follower.onPeerRecords(LogOffset(1), listOf(bytes(1), bytes(2), bytes(3)))
            sink.applied shouldContainExactly listOf(0L, 1L, 2L, 3L)
        }

        test("a log that ends before the applied offset does not count as reaching the tail") {
            val (follower, sink, _) = follower()
            follower.onRead(Duration.ZERO, page(0, 2, listOf(0L to bytes(0), 1L to bytes(1))))
            sink.tails shouldBe 1
            follower.onRead(Duration.ZERO, page(0, 1, emptyList()))
            sink.tails shouldBe 1
            follower.applied shouldBe LogOffset(1)
        }

        test("a host behind the retained log restores the newest snapshot and continues after it") {
            val (follower, sink, out) = follower()
            follower.onRead(Duration.ZERO, LogFault.Truncated(LogOffset(5)).left())
            val retained = listOf(5L to bytes(5), 6L to snapshot(4), 7L to bytes(7), 8L to snapshot(7), 9L to bytes(9))
            out.drain()
            follower.onRead(Duration.ZERO, page(5, 10, retained))
            follower.applied shouldBe LogOffset(7)
            val next = out.drain().filterIsInstance<HostEffect.ReadLog>().last().from
            next shouldBe LogOffset(8)
            follower.onRead(Duration.ZERO, page(5, 10, retained.filter { it.first >= 8 }))
            sink.applied shouldContainExactly listOf(8L, 9L)
        }

        test("a snapshot older than the state is not restored") {
            val (follower, _, _) = follower()
            follower.onRead(Duration.ZERO, page(0, 3, (0L..2L).map { it to bytes(it) }))
            follower.advanceTo(LogOffset(1)) shouldBe false
            follower.applied shouldBe LogOffset(2)
        }

        test("a retained log without a snapshot is scanned again only after the longest back-off") {
            val (follower, sink, out) = follower()
            follower.onRead(Duration.ZERO, LogFault.Truncated(LogOffset(5)).left())
            out.drain()
            follower.onRead(Duration.ZERO, page(5, 6, listOf(5L to bytes(5))))
            out.drain().filterIsInstance<HostEffect.ReadLog>().single().delay shouldBe LogFollower.MAX_BACK_OFF
            sink.applied shouldBe emptyList()
            sink.failures shouldBe 1
        }

        test("the delay after a failed read never exceeds the longest back-off") {
            val (follower, _, out) = follower()
            out.drain()
            repeat(30) {
                follower.onRead(Duration.ZERO, LogFault.Unavailable("down").left())
                val delay = out.drain().filterIsInstance<HostEffect.ReadLog>().single().delay
                delay.inWholeMilliseconds shouldBeLessThanOrEqual 5.seconds.inWholeMilliseconds
            }
        }
    })
