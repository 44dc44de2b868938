package io.anvilvalve.rules.fleet

import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.release.Organisation
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.longs.shouldBeGreaterThan
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Guards against a share that loses the refill of its idle time because its hold is released only at the next use. */
class OwnedSharesSpec :
    FunSpec({
        test("an idle share fills up after its first hold has expired") {
            val shares = OwnedShares(slots = 1, maxShares = 1, FleetTimes())
            shares.slotsChanged(setOf(0), clock = Duration.ZERO, now = Duration.ZERO)
            val organisation = Organisation(OrganisationId("o"), rate = 100, burst = 2_000, maxTokens = 100)
            shares.limitsChanged(listOf(organisation), clock = Duration.ZERO, now = Duration.ZERO)
            for (second in 1..60) shares.advanceHolds(clock = second.seconds, now = second.seconds)

            val layout = checkNotNull(shares.layout(organisation.id))
            val tokens = shares.refilled(layout, clock = 60.seconds, now = 60.seconds).sumOf { (_, share) ->
                share.tokens
            }
            tokens shouldBeGreaterThan 1_900
        }
    })
