package io.anvilvalve.rules.release

import io.anvilvalve.api.id.LogOffset
import io.anvilvalve.api.log.LogCodec
import io.anvilvalve.api.log.LogRecord.SnapshotChunk
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldBeIn
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe
import kotlin.random.Random

/** Guards against a host that starts from a snapshot whose chunks are missing, damaged or from another one. */
class SnapshotCodecSpec :
    FunSpec({
        val size = SnapshotCodec.MAX_CHUNK_BYTES

        fun bytes(random: Random, length: Int) = random.nextBytes(length)

        fun SnapshotChunk.with(index: Int = this.index, count: Int = this.count, data: ByteArray = this.data) =
            SnapshotChunk(id, covered, index, count, sha256, data)

        listOf(0, 1, size - 1, size, size + 1, 5 * size, 5 * size + 1).forEach { length ->
            test("a snapshot of $length bytes is restored from chunks of bounded size") {
                val codec = SnapshotCodec()
                val whole = bytes(Random(length), length)
                val chunks = codec.split("s", LogOffset(9), whole)
                chunks.forEach { LogCodec.encode(it).size shouldBeLessThan 64 * 1024 }
                val read = chunks.mapNotNull { codec.offer(it) }.single()
                read.covered shouldBe LogOffset(9)
                read.bytes.contentEquals(whole) shouldBe true
            }
        }

        val chunks = SnapshotCodec().split("s", LogOffset(9), bytes(Random(1), 3 * size))
        val other = SnapshotCodec().split("s", LogOffset(9), bytes(Random(2), 3 * size))
        listOf(
            IgnoredChunk.MALFORMED to listOf(chunks[0].with(index = 3)),
            IgnoredChunk.MALFORMED to listOf(chunks[0].with(index = -1)),
            IgnoredChunk.MALFORMED to listOf(chunks[0].with(count = 1_000_000)),
            IgnoredChunk.MALFORMED to listOf(chunks[0].with(data = ByteArray(size + 1))),
            IgnoredChunk.CONTRADICTORY to listOf(chunks[0], other[1]),
            IgnoredChunk.CONTRADICTORY to listOf(chunks[0], chunks[1].with(count = 4)),
            IgnoredChunk.DOUBLED to listOf(chunks[0], chunks[0]),
            IgnoredChunk.DAMAGED to listOf(chunks[0], chunks[1], chunks[2].with(data = ByteArray(size))),
        ).forEachIndexed { case, (reason, offered) ->
            test("case $case is recognised as $reason") {
                val codec = SnapshotCodec()
                offered.mapNotNull { codec.offer(it) } shouldBe emptyList()
                codec.ignored shouldBe mapOf(reason to 1)
            }
        }

        test("incomplete snapshots use a bounded amount of memory") {
            val codec = SnapshotCodec()
            repeat(100) { codec.offer(codec.split("s$it", LogOffset(1), ByteArray(2 * size)).first()) }
            codec.ignored shouldBe mapOf(IgnoredChunk.INCOMPLETE to 96)
        }

        test("only complete snapshots are returned from lost, duplicated, damaged and interleaved chunks") {
            var complete = 0
            repeat(500) { seed ->
                val random = Random(seed)
                val codec = SnapshotCodec()
                val originals = (0..2).associate { LogOffset(it.toLong()) to bytes(random, random.nextInt(4 * size)) }
                val sent = originals.flatMap { (covered, whole) -> codec.split("s$covered", covered, whole) }
                    .flatMap { chunk -> List(random.nextInt(4).coerceAtMost(2)) { chunk } + chunk }
                    .filter { random.nextInt(12) > 0 }
                    .map { if (random.nextInt(20) == 0) it.with(data = bytes(random, it.data.size)) else it }
                    .shuffled(random)
                sent.mapNotNull { codec.offer(it) }.forEach { whole ->
                    complete++
                    withClue("seed $seed") {
                        whole.covered shouldBeIn originals.keys
                        whole.bytes.contentEquals(originals.getValue(whole.covered)) shouldBe true
                    }
                }
            }
            complete shouldBeGreaterThan 500
        }
    })
