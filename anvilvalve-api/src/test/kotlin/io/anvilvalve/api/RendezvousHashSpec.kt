package io.anvilvalve.api

import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.longs.shouldBeExactly
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe

/** Guards against hosts that choose different owners, and against owners with far too many keys. */
class RendezvousHashSpec :
    FunSpec({
        val nodes = (1..10).map { "host-$it" }

        test("scores are fixed, so that hosts of different versions agree") {
            RendezvousHash.score("pool", "host-1") shouldBeExactly -4_130_951_102_584_575_070
        }

        test("the order of the nodes does not matter") {
            repeat(100) { key ->
                val reversed = RendezvousHash.first("$key", nodes.reversed(), { it })
                RendezvousHash.first("$key", nodes, { it }) shouldBe reversed
            }
        }

        test("keys move only away from a lost node") {
            repeat(1_000) { key ->
                val before = RendezvousHash.first("$key", nodes, { it })
                val after = RendezvousHash.first("$key", nodes - "host-3", { it })
                if (before != "host-3") after shouldBe before
            }
        }

        test("keys spread evenly over names that differ in the last character") {
            val counts = (1..10_000).groupingBy { RendezvousHash.first("$it", nodes, { node -> node }) }.eachCount()
            nodes.forEach { counts.getValue(it) shouldBeInRange 850..1_150 }
        }

        test("the border between key and node counts") {
            RendezvousHash.score("ab", "c") shouldNotBe RendezvousHash.score("a", "bc")
        }

        test("first agrees with ranked, and nothing is first of nothing") {
            RendezvousHash.ranked("key", nodes, { it }).first() shouldBe RendezvousHash.first("key", nodes, { it })
            RendezvousHash.first("key", emptyList<String>(), { it }) shouldBe null
        }
    })
