package io.anvilvalve.core

import io.anvilvalve.core.StreamCursor.Verdict
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.shouldBe
import kotlin.random.Random

/** Guards against answers with duplicated, missing or reordered tokens, or with tokens of another attempt. */
class StreamCursorSpec :
    FunSpec({
        class Case(val name: String, val chunks: List<Pair<Int, Int>>, val verdicts: List<Verdict>, val delivered: Int)

        listOf(
            Case("in order", listOf(1 to 0, 1 to 1), listOf(Verdict.NEXT, Verdict.NEXT), 2),
            Case("repeated", listOf(1 to 0, 1 to 0, 1 to 1), listOf(Verdict.NEXT, Verdict.DUPLICATE, Verdict.NEXT), 2),
            Case("missing token", listOf(1 to 0, 1 to 2), listOf(Verdict.NEXT, Verdict.GAP), 1),
            Case("reordered", listOf(1 to 1, 1 to 0), listOf(Verdict.GAP, Verdict.NEXT), 1),
            Case("old attempt", listOf(0 to 0, 1 to 0), listOf(Verdict.STALE, Verdict.NEXT), 1),
            Case("future attempt", listOf(2 to 0), listOf(Verdict.STALE), 0),
            Case("negative sequence number", listOf(1 to -1), listOf(Verdict.DUPLICATE), 0),
        ).forEach { case ->
            test("every chunk is classified: ${case.name}") {
                val cursor = StreamCursor()
                cursor.begin(1)
                case.chunks.map { (attempt, index) -> cursor.accept(attempt, index) } shouldContainExactly case.verdicts
                cursor.delivered shouldBe case.delivered
            }
        }

        test("a resumed attempt continues where the previous one stopped") {
            val cursor = StreamCursor()
            cursor.begin(1) shouldBe true
            repeat(3) { cursor.accept(1, it) }
            cursor.begin(2) shouldBe true
            cursor.accept(1, 3) shouldBe Verdict.STALE
            cursor.accept(2, 2) shouldBe Verdict.DUPLICATE
            cursor.accept(2, 3) shouldBe Verdict.NEXT
            cursor.delivered shouldBe 4
        }

        test("an attempt that is not newer does not start") {
            val cursor = StreamCursor()
            cursor.begin(2)
            cursor.begin(2) shouldBe false
            cursor.begin(1) shouldBe false
            cursor.accept(1, 0) shouldBe Verdict.STALE
        }

        test("any random stream delivers consecutive tokens without gaps or duplicates") {
            val random = Random(seed = 7)
            repeat(500) {
                val cursor = StreamCursor()
                cursor.begin(1)
                val written = (0 until 40).map {
                    random.nextInt(-1, 12)
                }.filter { cursor.accept(1, it) == Verdict.NEXT }
                written shouldContainExactly written.indices.toList()
                cursor.delivered shouldBe written.size
            }
        }
    })
