package io.anvilvalve.rules.release

import io.anvilvalve.api.id.ClaimId
import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.log.Claim
import io.anvilvalve.api.log.KeptReply
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration.Companion.hours
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Guards against two winners of one call when log records arrive late, more than once or outdated. */
class ClaimTableSpec :
    FunSpec({
        fun claim(id: String) = Claim(ClaimId(id), Incarnation("h"), OrganisationId("o"), "call", "digest")

        fun reply(body: String) = KeptReply(200, "text/plain", body.toByteArray())

        fun table() = ClaimTable(ttl = 24.hours, maxTotalBodyBytes = 10)

        test("a claim that was abandoned before it arrived never wins") {
            val table = table()
            table.abandon(ClaimId("a"), 1.seconds)
            table.claim(claim("a"), 2.seconds) shouldBe null
            table.claim(claim("b"), 3.seconds)?.claim?.id shouldBe ClaimId("b")
            table.claim(claim("a"), 4.seconds)?.claim?.id shouldBe ClaimId("b")
        }

        test("an abandonment after the reply does not free the call for another claim") {
            val table = table()
            table.claim(claim("a"), 1.seconds)
            table.settle(ClaimId("a"), reply("x"), 2.seconds)
            table.abandon(ClaimId("a"), 3.seconds) shouldBe null
            table.claim(claim("b"), 4.seconds)?.claim?.id shouldBe ClaimId("a")
        }

        test("a late reply replaces an unknown outcome, and nothing replaces a reply") {
            val table = table()
            val entry = checkNotNull(table.claim(claim("a"), 1.seconds))
            table.settle(ClaimId("a"), unknownOutcome(), 2.seconds)
            table.settle(ClaimId("a"), reply("x"), 3.seconds)
            listOf(reply("y"), unknownOutcome()).forEach { table.settle(ClaimId("a"), it, 4.seconds) }
            entry.reply?.body?.decodeToString() shouldBe "x"
        }

        test("a claim is retained after the last record of its call, so no second claim wins within the TTL") {
            val table = table()
            table.claim(claim("a"), 0.hours)
            table.claim(claim("b"), 20.hours)
            table.expire(30.hours)
            table.claim(claim("c"), 30.hours)?.claim?.id shouldBe ClaimId("a")
            table.expire(54.hours + 1.minutes)
            table.claim(claim("d"), 55.hours)?.claim?.id shouldBe ClaimId("d")
        }

        test("a snapshot preserves the ages of claims") {
            val table = table()
            table.claim(claim("a"), 0.hours)
            val state = ReleaseSnapshot(claims = table.keptClaims(23.hours))
            val restored = table().apply { restore(state, 1.hours) }
            restored.expire(2.hours - 1.minutes)
            restored[claim("a").call]?.claim?.id shouldBe ClaimId("a")
            restored.expire(2.hours + 1.minutes)
            restored[claim("a").call] shouldBe null
        }

        test("the oldest bodies are dropped when the total size exceeds the limit") {
            val table = table()
            val first = checkNotNull(table.claim(claim("a"), 1.seconds))
            table.settle(ClaimId("a"), reply("12345678"), 2.seconds)
            val other = claim("b").copy(callKey = "other")
            val second = checkNotNull(table.claim(other, 3.seconds))
            table.settle(ClaimId("b"), reply("12345678"), 4.seconds)
            first.reply?.truncated shouldBe true
            second.reply?.truncated shouldBe false
        }

        listOf(
            "01000000-0000-7000-8000-000000000000" to "IDEMPOTENCY_KEY_EXPIRED",
            "018cc251-f400-7000-8000-000000000000" to null,
            "028cc251-f400-7000-8000-000000000000" to "MALFORMED_REQUEST",
            "01000000-0000-4000-8000-000000000000" to null,
            "order-17" to null,
        ).forEach { (key, code) ->
            test("at the start of 2024 the age check of $key gives $code") {
                IdempotencyKeys.ageFault(key, wallMillis = 1_704_067_200_000, maxAge = 24.hours)?.name shouldBe code
            }
        }
    })
