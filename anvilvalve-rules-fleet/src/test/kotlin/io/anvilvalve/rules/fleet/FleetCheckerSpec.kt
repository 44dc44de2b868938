package io.anvilvalve.rules.fleet

import io.anvilvalve.api.Reducer
import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.id.LogOffset
import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.log.LogRecord
import io.anvilvalve.api.result.ResultCode
import io.kotest.assertions.withClue
import io.kotest.core.spec.style.FunSpec
import io.kotest.matchers.shouldBe
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against a checker that misses violations: each injected fault must be reported for at least one seed. */
class FleetCheckerSpec :
    FunSpec({
        class Fault(
            val description: String,
            val report: String,
            val times: (Int) -> FleetTimes = { shortTimes },
            val checksClock: Boolean = true,
            val inject: (SimulatedHost) -> Unit = {},
        )

        val faults = listOf(
            Fault("a new slot owner does not wait until a removal takes effect", "is refilled by", times = {
                shortTimes.copy(removalMargin = -shortTimes.freshness * 2)
            }),
            Fault("a host does not check its clock after a pause", "is refilled by", checksClock = false),
            Fault("granted tokens are spent after they have expired", "over the limit", times = { index ->
                shortTimes.copy(grantTtl = if (index == 0) 10.milliseconds else 5.seconds)
            }),
            Fault("a new owner starts with a full bucket", "over the limit") { it.reducer = FullOwner(it.rules) },
            Fault("a request is answered twice", "answered twice") { host ->
                host.reducer = mapEffects(host) { if (it is FleetEffect.Refused) listOf(it, it) else listOf(it) }
            },
            Fault("a refusal is lost", "not answered") { host ->
                host.reducer = mapEffects(host) { if (it is FleetEffect.Refused) emptyList() else listOf(it) }
            },
            Fault("the applied offset decreases", "goes back") { host ->
                var reads = 0L
                host.applied = { LogOffset(host.rules.applied.value - reads++ % 2) }
            },
            Fault("a host ignores the release of slots", "differs at offset") { host ->
                if (host.member.host.value == "h0") host.reducer = ReleaseIgnored(host.rules)
            },
        )

        faults.forEach { fault ->
            test("the checker reports that ${fault.description}") {
                val reported = (1L..MAX_SEED).toList().parallelStream().anyMatch { seed ->
                    val world = FleetWorld(seed, 3 + (seed % 5).toInt(), timesOf = fault.times, inject = fault.inject)
                    world.checksClockOnWake = fault.checksClock
                    world.run(LENGTH)
                    world.checker.violations.any { fault.report in it }
                }
                withClue("no seed up to $MAX_SEED") { reported shouldBe true }
            }
        }
    }) {
    /** Admits requests that the rules refuse, up to a full share for each slot that the host has gained. */
    private class FullOwner(private val rules: FleetRules) : Reducer<FleetEvent, FleetEffect> {
        private var budget = 0L
        private val requestedTokens = HashMap<RequestId, Long>()

        override fun reduce(event: FleetEvent, now: Duration): List<FleetEffect> {
            val before = rules.refilledSlots(now).size
            if (event is FleetEvent.Admit) requestedTokens[event.id] = event.tokens
            val effects = rules.reduce(event, now)
            budget += maxOf(0, rules.refilledSlots(now).size - before) * SHARE
            return effects.map { if (it is FleetEffect.Refused) admit(it) else it }
        }

        private fun admit(refused: FleetEffect.Refused): FleetEffect {
            val tokens = requestedTokens.getValue(refused.id)
            if (refused.code != ResultCode.RATE_EXCEEDED || tokens > budget) return refused
            budget -= tokens
            return FleetEffect.Admitted(refused.id)
        }
    }

    /** Ignores the records that release slots. */
    private class ReleaseIgnored(private val rules: FleetRules) : Reducer<FleetEvent, FleetEffect> {
        override fun reduce(event: FleetEvent, now: Duration): List<FleetEffect> {
            val skipped = LogRecord.HostLeft(Incarnation("unknown"))
            val isRelease = event is FleetEvent.RecordApplied && event.record is LogRecord.SlotsReleased
            return rules.reduce(if (isRelease) event.copy(record = skipped) else event, now)
        }
    }

    private companion object {
        const val MAX_SEED = 1_000L
        val LENGTH = 20.seconds
        const val SHARE = 16_666L

        fun mapEffects(
            host: SimulatedHost,
            change: (FleetEffect) -> List<FleetEffect>,
        ): Reducer<FleetEvent, FleetEffect> = object : Reducer<FleetEvent, FleetEffect> {
            override fun reduce(event: FleetEvent, now: Duration): List<FleetEffect> =
                host.rules.reduce(event, now).flatMap(change)
        }
    }
}
