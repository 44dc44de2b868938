package io.anvilvalve.rules.scheduling

import io.anvilvalve.api.peer.WorkClass
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.doubles.shouldBeBetween
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.shouldBe

class FairQueueSpec :
    FunSpec({
        fun work(id: String, organisation: String, workClass: WorkClass = WorkClass.INTERACTIVE, latest: Long = 0) =
            Work(item(id, organisation, workClass, prompt = 1_600, output = 100), 1, 0).apply { latestStart = latest }

        fun FairQueue.serve(count: Int, now: Long = 0): List<Work> = List(count) {
            candidates().first().also { dispatch(it, now) }
        }

        test("an organisation that sends much more does not delay the others") {
            val queue = FairQueue(SchedulingSettings())
            repeat(100) { queue.offer(work("a$it", "a")) }
            repeat(10) { queue.offer(work("b$it", "b")) }
            queue.serve(20).count { it.item.organisation.value == "b" } shouldBe 10
        }

        test("an organisation is not charged for refused work and keeps its later share") {
            val queue = FairQueue(SchedulingSettings())
            repeat(50) { queue.offer(work("late$it", "a", latest = 10)) }
            queue.removeExpired(now = 11).size shouldBe 50
            repeat(20) {
                queue.offer(work("a$it", "a", latest = 100))
                queue.offer(work("b$it", "b", latest = 100))
            }
            queue.serve(20).count { it.item.organisation.value == "a" } shouldBe 10
        }

        test("interactive work is served first and batch work of the same organisation gets a bounded share") {
            val queue = FairQueue(SchedulingSettings(batchShare = 0.2))
            repeat(200) { queue.offer(work("i$it", "a")) }
            repeat(200) { queue.offer(work("b$it", "a", WorkClass.BATCH)) }
            val served = queue.serve(100)
            served.take(3).all { it.item.workClass == WorkClass.INTERACTIVE } shouldBe true
            (served.count { it.item.workClass == WorkClass.BATCH } / 100.0).shouldBeBetween(0.15, 0.25, 0.0)
        }

        test("an organisation with only batch work is not starved by interactive work of another") {
            val queue = FairQueue(SchedulingSettings(queueBound = 20_000))
            repeat(10_000) { queue.offer(work("i$it", "a")) }
            repeat(2_000) { queue.offer(work("b$it", "b", WorkClass.BATCH)) }
            // At ten requests per second, both organisations get equal shares after the batch lag of 30 s.
            val served = List(1_200) { queue.serve(1, now = it * 100_000L).single() }
            // The estimate of the pool rate, and with it the lag in tokens, starts from zero in the first seconds.
            served.take(100).count { it.item.organisation.value == "b" } shouldBeLessThan 10
            served.drop(700).count { it.item.organisation.value == "b" } shouldBe 250
        }

        test("a queue holds at most queueBound requests per organisation and class") {
            val queue = FairQueue(SchedulingSettings(queueBound = 2))
            List(3) { queue.offer(work("$it", "a")) } shouldContainExactly listOf(true, true, false)
            queue.offer(work("x", "b")) shouldBe true
        }
    })
