package io.anvilvalve.rules.fleet

import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.release.Organisation
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.booleans.shouldBeTrue
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards the ceiling of one share against refunds and holds that add tokens which a bucket would have lost. */
class ShareBucketSpec :
    FunSpec({
        val limit = ShareLimit(microsPerSecond = 1_000 * ShareLayout.MICROS, capMicros = 2_000 * ShareLayout.MICROS)
        val organisation = Organisation(OrganisationId("o"), rate = 1_000, burst = 2_000)

        class Spent(val at: Duration, val position: Long, val amount: Long) {
            var used = amount
        }

        /** Random spending and refunds; returns by how much the history breaks the reference bucket. */
        fun run(seed: Long, refund: (ShareBucket, Long, Long) -> Unit): Double? {
            val random = Random(seed)
            val bucket = ShareBucket(limit, Duration.ZERO)
            val spent = mutableListOf<Spent>()
            var now = 10.seconds
            repeat(60) {
                now += random.nextInt(0, 800).milliseconds
                bucket.refill(now)
                val amount = bucket.spend(random.nextLong(0, 2_001))
                spent += Spent(now, bucket.position, amount)
                spent.filter { it.used == it.amount && random.nextInt(6) == 0 }.forEach {
                    it.used = random.nextLong(0, it.amount + 1)
                    refund(bucket, it.amount - it.used, it.position)
                }
            }
            val reference = ReferenceBucket(organisation)
            return spent.firstNotNullOfOrNull { reference.take(it.used, it.at) }
        }

        test("refunds never lift the use of any interval over the limit") {
            for (seed in 1L..5_000L) withClue("seed $seed") { run(seed, ShareBucket::refund).shouldBeNull() }
        }

        test("refunds that are only capped by the burst break the limit") {
            val breaks = (1L..500L).any { seed ->
                run(seed) { bucket, amount, _ -> bucket.refund(amount, Long.MAX_VALUE) } != null
            }
            breaks.shouldBeTrue()
        }

        test("a refund is worth its full amount while the bucket has not been full since") {
            val bucket = ShareBucket(limit, Duration.ZERO)
            bucket.refill(10.seconds)
            bucket.spend(2_000) shouldBe 2_000
            bucket.refund(1_500, bucket.position)
            bucket.tokens shouldBe 1_500
        }

        test("a refund after the bucket has been full again adds nothing") {
            val bucket = ShareBucket(limit, Duration.ZERO)
            bucket.refill(10.seconds)
            bucket.spend(2_000)
            val position = bucket.position
            bucket.refill(20.seconds)
            bucket.spend(2_000)
            bucket.refund(1_500, position)
            bucket.tokens shouldBe 0
        }
    })
