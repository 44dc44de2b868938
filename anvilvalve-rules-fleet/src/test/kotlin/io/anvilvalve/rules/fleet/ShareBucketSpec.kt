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

/** Guards against refunds that lift a share over its limit because they add tokens that would have overflowed. */
class ShareBucketSpec :
    FunSpec({
        val limit = ShareLimit(microsPerSecond = 1_000 * ShareLayout.MICROS, capMicros = 2_000 * ShareLayout.MICROS)
        val organisation = Organisation(OrganisationId("o"), rate = 1_000, burst = 2_000)

        class Spent(val at: Duration, val position: Long, val amount: Long) {
            var used = amount
        }

        /** Spends and refunds at random; returns by how many tokens the history exceeds the limit, or null. */
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

        test("refunds never raise the use in any interval above the limit") {
            for (seed in 1L..5_000L) withClue("seed $seed") { run(seed, ShareBucket::refund).shouldBeNull() }
        }

        test("refunds that are capped only by the burst exceed the limit") {
            val breaks = (1L..500L).any { seed ->
                run(seed) { bucket, amount, _ -> bucket.refund(amount, Long.MAX_VALUE) } != null
            }
            breaks.shouldBeTrue()
        }

        test("a refund is credited in full if the bucket has not been full since") {
            val bucket = ShareBucket(limit, Duration.ZERO)
            bucket.refill(10.seconds)
            bucket.spend(2_000) shouldBe 2_000
            bucket.refund(1_500, bucket.position)
            bucket.tokens shouldBe 1_500
        }

        test("a refund adds nothing after the bucket has been full again") {
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
