package io.anvilvalve.bench.limits

import io.anvilvalve.api.Reducer
import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.log.Member
import io.anvilvalve.api.release.Organisation
import io.anvilvalve.api.result.ResultCode
import io.anvilvalve.rules.fleet.FleetEffect
import io.anvilvalve.rules.fleet.FleetEvent
import io.anvilvalve.rules.fleet.FleetRules
import io.anvilvalve.rules.fleet.FleetTimes
import kotlin.math.ln
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

/** Runs one scenario under one policy; the seed determines all random draws. */
internal class LimitsRun(
    private val workload: LimitsWorkload,
    private val scenario: LimitsScenario,
    private val policy: String,
    seed: Long,
) {
    private class Request(val organisation: Organisation, val tokens: Long, val used: Long, val at: Duration) {
        var admittedAt: Duration? = null
        var refused: ResultCode? = null
    }

    private val random = Random(seed)
    private val organisations = List(workload.organisations) {
        Organisation(OrganisationId("o$it"), workload.rate, workload.burst)
    }
    private val fleet = LimitsFleet(Random(seed + 1), organisations, ::newReducer, ::onDecision)
    private val requests = LinkedHashMap<RequestId, Request>()

    /** Runs the scenario and returns the figures for the time after the warm-up. */
    fun measure(): LimitsResult {
        repeat(workload.hosts) { fleet.start(it) }
        organisations.forEachIndexed { index, it -> fleet.after(Duration.ZERO) { arrive(index, it) } }
        fleet.runUntil(LimitsScenario.WARM_UP)
        val bytes = fleet.sentBytes
        val appends = fleet.appends
        injectFaults()
        fleet.runUntil(LimitsScenario.WARM_UP + scenario.length)
        return result(fleet.sentBytes - bytes, fleet.appends - appends)
    }

    private fun newReducer(member: Member, seed: Long): Reducer<FleetEvent, FleetEffect> = when (policy) {
        "naive" -> NaiveLimits(workload.hosts)
        "v1" -> FleetRules(member, seed, times = FleetTimes(prefetchSpan = Duration.ZERO))
        else -> FleetRules(member, seed)
    }

    private fun injectFaults() {
        when (scenario) {
            LimitsScenario.CRASH -> fleet.after(10.seconds) { fleet.crash(1) }

            LimitsScenario.CHURN -> churn(0)

            LimitsScenario.LOG_DOWN -> {
                fleet.logDown = true
                fleet.after(10.minutes) { fleet.logDown = false }
            }

            LimitsScenario.PARTITION -> {
                fleet.partitionedRegion = fleet.running.first { it.index == 1 }.member.region
                fleet.after(2.minutes) { fleet.partitionedRegion = null }
            }

            LimitsScenario.RESTART -> repeat(workload.hosts) { index ->
                fleet.crash(index)
                fleet.after(5.seconds) { fleet.start(index) }
            }

            else -> Unit
        }
    }

    private fun churn(index: Int) {
        fleet.crash(index % workload.hosts)
        fleet.after(5.seconds) { fleet.start(index % workload.hosts) }
        fleet.after(20.seconds) { churn(index + 1) }
    }

    private fun arrive(index: Int, organisation: Organisation) {
        val factor = if (scenario == LimitsScenario.FOUR_TIMES && index == 0) OVERLOAD_FACTOR else workload.load
        val perSecond = organisation.rate * factor / (workload.requestTokens * workload.usedRatio)
        fleet.after(drawExponential().seconds / perSecond) { arrive(index, organisation) }
        val host = chooseHost(index) ?: return
        val tokens = 1 + (workload.requestTokens * minOf(drawExponential(), MAX_LENGTH_FACTOR)).toLong()
        val used = (tokens * minOf(1.0, 2 * workload.usedRatio * random.nextDouble())).toLong()
        val id = RequestId("q${requests.size}")
        requests[id] = Request(organisation, tokens, used, fleet.now)
        fleet.admit(host, id, organisation, tokens, workload.maxWait)
    }

    /** Chooses among the ready hosts like a load balancer, or among all running hosts if none is ready. */
    private fun chooseHost(organisation: Int): LimitsFleet.Process? {
        val running = fleet.running.sortedBy { it.index }
        val ready = running.filter { it.current }.ifEmpty { running }
        val pinned = scenario == LimitsScenario.ONE_HOST && organisation == 0
        return if (pinned) ready.firstOrNull() else ready.randomOrNull(random)
    }

    private fun onDecision(id: RequestId, code: ResultCode?, process: LimitsFleet.Process) {
        val request = requests.getValue(id)
        request.refused = code
        if (code != null) return
        request.admittedAt = fleet.now
        fleet.after(workload.runTime * drawExponential()) { fleet.settle(process, id, request.used) }
    }

    private fun result(bytes: Long, appends: Int): LimitsResult {
        val seconds = scenario.length.inWholeMilliseconds / MILLIS_PER_SECOND
        val counted = requests.values.filter {
            it.at >= LimitsScenario.WARM_UP &&
                (it.admittedAt != null || it.refused != null)
        }
        val centralRefused = organisations.associate { it.id to centralRefusals(it) }
        val overloaded = organisations.first().takeIf { scenario == LimitsScenario.FOUR_TIMES }
        val within = organisations.filter { it != overloaded }
        val excess = within.associateWith { organisation ->
            val refused = counted.count { it.organisation == organisation && it.refused != null }
            maxOf(0, refused - centralRefused.getValue(organisation.id))
        }
        return LimitsResult(
            scenario = scenario.label,
            policy = policy,
            peakOverCeilingRatio = organisations.maxOf(::peakOverCeiling),
            refusedWithinRateRatio = excess.values.sum().toDouble() / counted.count { it.organisation != overloaded },
            worstOrganisationRefusedRatio = excess.maxOf { (organisation, refused) ->
                refused.toDouble() / counted.count { it.organisation == organisation }
            },
            overloadedUseRatio = overloaded?.let { organisation ->
                val used = counted.filter { it.organisation == organisation && it.admittedAt != null }.sumOf { it.used }
                used / (organisation.rate * seconds)
            },
            peerBytesPerHostPerSecond = bytes / seconds / workload.hosts,
            logAppendsPerSecond = appends / seconds,
            offered = counted.size,
            admittedAtOnceRatio = counted.count { it.admittedAt == it.at } / counted.size.toDouble(),
            admitted = counted.count { it.admittedAt != null },
            refusedByCentralBucket = centralRefused.values.sum(),
            refusals = counted.mapNotNull { it.refused?.code }.groupingBy { it }.eachCount().toSortedMap(),
        )
    }

    /** Requests that a central bucket charged with actual token use refuses after the warm-up. */
    private fun centralRefusals(organisation: Organisation): Int {
        val bucket = CentralBucket(organisation.rate.toDouble(), organisation.burst.toDouble())
        return requests.values.filter { it.organisation == organisation }
            .count { !bucket.tryConsume(it.used.toDouble(), it.at) && it.at >= LimitsScenario.WARM_UP }
    }

    private fun peakOverCeiling(organisation: Organisation): Double {
        val bucket = CentralBucket(organisation.rate.toDouble(), organisation.burst.toDouble())
        val lowest = requests.values.filter { it.organisation == organisation && it.admittedAt != null }
            .sortedBy { it.admittedAt }
            .minOfOrNull { request ->
                bucket.consume(request.used.toDouble(), checkNotNull(request.admittedAt))
                bucket.level
            } ?: return 0.0
        return (organisation.burst - lowest) / organisation.burst
    }

    private fun drawExponential(): Double = -ln(1 - random.nextDouble())

    companion object {
        val POLICIES = listOf("naive", "v1", "current")
        private const val OVERLOAD_FACTOR = 4.0
        private const val MAX_LENGTH_FACTOR = 8.0
        private const val MILLIS_PER_SECOND = 1_000.0
    }
}
