package io.anvilvalve.api

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.longs.shouldBeExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe

/** Guards against hosts that choose different owners for a key, and against owners with far too many keys. */
class RendezvousHashSpec :
    FunSpec({
        val nodes = (1..10).map { "host-$it" }

        test("scores are fixed, so that hosts of different versions agree") {
            RendezvousHash.score("pool", "host-1") shouldBeExactly -4_130_951_102_584_575_070
        }

        test("the order of the nodes does not matter") {
            repeat(100) { key ->
                val reversed = RendezvousHash.choose("$key", nodes.reversed())
                RendezvousHash.choose("$key", nodes) shouldBe reversed
            }
        }

        test("only the keys of a removed node move") {
            repeat(1_000) { key ->
                val before = RendezvousHash.choose("$key", nodes)
                val after = RendezvousHash.choose("$key", nodes - "host-3")
                if (before != "host-3") after shouldBe before
            }
        }

        test("keys spread evenly over names that differ in the last character") {
            val counts = (1..10_000).groupingBy { RendezvousHash.choose("$it", nodes) }.eachCount()
            nodes.forEach { counts.getValue(it) shouldBeInRange 850..1_150 }
        }

        test("the boundary between key and node changes the score") {
            RendezvousHash.score("ab", "c") shouldNotBe RendezvousHash.score("a", "bc")
        }

        test("the chosen node ranks first, and an empty list has no chosen node") {
            RendezvousHash.rank("key", nodes).first() shouldBe RendezvousHash.choose("key", nodes)
            RendezvousHash.choose("key", emptyList()) shouldBe null
        }
    })
