package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.peer.CostSample
import io.anvilvalve.api.peer.SharedCost
import io.anvilvalve.api.result.LogEvent
import io.anvilvalve.api.routing.ServiceId
import kotlin.math.exp
import kotlin.math.ln
import kotlin.math.sqrt
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Expected cost of requests, learned from those that ended at this host and at the others: output tokens of streams,
 * and milliseconds of calls to plain services.
 *
 * At most [MAX_KEYS] keys are kept; the least recently used one leaves. After a start nothing is known, and the
 * estimates follow from the limits and claims of the requests until other hosts share what they know.
 */
internal class CostModel(private val out: Outbox) {
    private class Entry {
        val distribution = CostDistribution()
        val claims = ClaimError()
        var shared: SharedCost? = null
        var sharedAt = Duration.ZERO
        var loggedAt: Duration? = null
    }

    private class Estimate(val mean: Double, val high: Double)

    private val entries = LinkedHashMap<CostKey, Entry>(INITIAL_KEYS, LOAD_FACTOR, true)
    private val pending = ArrayList<CostSample>()
    private var sharedAt: Duration? = null
    private var nextShared = 0

    /**
     * Whether this host gets the samples of all others. Otherwise the figures of a coordinator precede its own, which
     * follow from a part of the requests.
     */
    var learnsFromAll: Boolean = true

    /** Number of keys for which a cost is kept. */
    val size: Int get() = entries.size

    /** Learns from [sample] of this host, and keeps it for [drain] unless enough samples of its key wait already. */
    fun record(sample: CostSample) {
        learn(sample)
        val ofKey = pending.count { it.route == sample.route && it.organisation == sample.organisation }
        if (ofKey < MAX_PENDING_OF_KEY && pending.size < MAX_PENDING) pending += sample
    }

    /** Learns from the [samples] of another host. */
    fun applyReport(samples: List<CostSample>) = samples.forEach(::learn)

    /** Uses the [costs] that a coordinator has learned from the samples of all hosts. */
    fun applyTotals(costs: List<SharedCost>) = costs.forEach { cost ->
        val entry = entry(CostKey(cost.service, cost.route, cost.organisation))
        entry.shared = cost
        entry.sharedAt = out.now
    }

    /** Samples of this host since the last call, for reporting to other hosts. */
    fun drain(): List<CostSample> = pending.toList().also { pending.clear() }

    /**
     * Up to [MAX_SHARED] costs for the other hosts, at most once every [SHARE_INTERVAL]: those of whole routes first,
     * then those of organisations in turn.
     */
    fun share(): List<SharedCost> {
        if (sharedAt?.let { out.now - it < SHARE_INTERVAL } == true) return emptyList()
        sharedAt = out.now
        val known = entries.filterValues { it.distribution.samples >= MIN_SAMPLES }.toList()
        val (general, special) = known.partition { it.first.organisation == null }
        val first = general.take(MAX_SHARED)
        val inTurn = List(minOf(special.size, MAX_SHARED - first.size)) { special[(nextShared + it) % special.size] }
        nextShared = if (special.isEmpty()) 0 else (nextShared + inTurn.size) % special.size
        return (first + inTurn).map { (key, entry) -> shared(key, entry) }
    }

    /**
     * Output tokens that an answer is expected to have, at most [limit]. The claim of the caller is corrected by the
     * measured error of earlier claims, and both are weighted by how exact they were.
     */
    fun expectedOutput(
        service: ServiceId,
        route: String,
        organisation: OrganisationId?,
        claimed: Int?,
        limit: Int,
    ): Int {
        if (limit <= 0) return claimed ?: 0
        val learned = estimate(service, route, organisation)
        val expected = when {
            claimed == null || claimed <= 0 -> learned?.mean ?: (limit * DEFAULT_OUTPUT_SHARE)
            else -> blend(claimed, claimError(CostKey(service, route)), learned, limit)
        }
        return expected.toInt().coerceIn(1, limit)
    }

    /** Output tokens, or milliseconds of a call, that nine of ten requests do not exceed; null if not known. */
    fun high(service: ServiceId, route: String, organisation: OrganisationId?): Double? =
        estimate(service, route, organisation)?.high

    /** Expected time of a call to a plain service; null while it is not known. */
    fun callTime(service: ServiceId, route: String, organisation: OrganisationId?): Duration? =
        estimate(service, route, organisation)?.mean?.toLong()?.milliseconds

    /**
     * Cost of a request in percent of the mean cost of the service: by [outputTokens] if it is a stream, otherwise by
     * the measured time of calls of the route; 100 while one of them is not known.
     */
    fun costPercent(service: ServiceId, route: String, organisation: OrganisationId?, outputTokens: Int): Int {
        val usual = entries[CostKey(service)]?.let(::estimateOf)?.mean ?: return USUAL_PERCENT
        val cost = if (outputTokens > 0) outputTokens.toDouble() else estimate(service, route, organisation)?.mean
        return ((cost ?: usual) / usual * USUAL_PERCENT).toInt().coerceIn(MIN_COST_PERCENT, MAX_COST_PERCENT)
    }

    private fun learn(sample: CostSample) {
        val value = if (sample.outputTokens > 0) sample.outputTokens else sample.millis
        val route = CostKey(sample.service, sample.route)
        add(CostKey(sample.service), value)
        add(route, value)
        if (sample.organisation != null) add(route.copy(organisation = sample.organisation), value)
        if (sample.claimedTokens > 0 && sample.outputTokens > 0) {
            entry(route).claims.add(sample.outputTokens, sample.claimedTokens)
        }
    }

    private fun add(key: CostKey, value: Int) {
        val entry = entry(key)
        val before = entry.distribution.mean
        if (entry.distribution.add(value.toDouble()) && key.route.isNotEmpty()) logChange(key, entry, before)
    }

    private fun logChange(key: CostKey, entry: Entry, before: Double) {
        if (key.organisation != null || entry.loggedAt?.let { out.now - it < LOG_INTERVAL } == true) return
        entry.loggedAt = out.now
        out.log(
            LogEvent.COST_CHANGED,
            "service" to key.service,
            "route" to key.route,
            "mean_before" to before.toInt(),
            "mean" to entry.distribution.mean.toInt(),
        )
    }

    private fun entry(key: CostKey): Entry {
        entries[key]?.let { return it }
        if (entries.size >= MAX_KEYS) entries.remove(entries.keys.first())
        return Entry().also { entries[key] = it }
    }

    /** What is known of the organisation on the route, otherwise of the route; null if neither is known. */
    private fun estimate(service: ServiceId, route: String, organisation: OrganisationId?): Estimate? {
        val key = CostKey(service, route)
        val special = if (organisation == null) null else entries[key.copy(organisation = organisation)]
        return special?.let(::estimateOf) ?: entries[key]?.let(::estimateOf)
    }

    private fun estimateOf(entry: Entry): Estimate? {
        freshShared(entry)?.let { return Estimate(it.mean.toDouble(), it.high.toDouble()) }
        val own = entry.distribution
        return if (own.samples < MIN_SAMPLES) null else Estimate(own.mean, own.quantile(HIGH_SHARE))
    }

    /** What a coordinator has shared, if it is based on more requests than what this host has seen. */
    private fun freshShared(entry: Entry) = entry.shared?.takeIf {
        val isBetter = !learnsFromAll || it.samples > entry.distribution.samples
        isBetter && out.now - entry.sharedAt < SHARED_VALIDITY
    }

    /** Mean and variance of ln(actual / claimed) for claims on the route. */
    private fun claimError(route: CostKey): Pair<Double, Double> {
        val entry = entries[route] ?: return 0.0 to ClaimError.PRIOR_VARIANCE
        val shared = freshShared(entry)?.takeIf { it.claimPercent > 0 }
            ?: return entry.claims.mean to entry.claims.variance
        val spread = shared.claimSpreadPercent / PERCENT
        return ln(shared.claimPercent / PERCENT) to spread * spread
    }

    /** Weights the corrected claim and the learned length by the inverse of their variances, in logarithms. */
    private fun blend(claimed: Int, error: Pair<Double, Double>, learned: Estimate?, limit: Int): Double {
        val (errorMean, errorVariance) = error
        val deviation = learned?.let(::deviation)
        val variance = deviation?.let { it * it } ?: DEFAULT_VARIANCE
        val mean = learned?.mean ?: (limit * DEFAULT_OUTPUT_SHARE).coerceAtLeast(1.0)
        val ofClaim = 1 / errorVariance.coerceAtLeast(MIN_VARIANCE)
        val ofLearned = 1 / variance.coerceAtLeast(MIN_VARIANCE)
        val median = ln(mean) - if (learned == null) 0.0 else variance / 2
        val log = ((ln(claimed.toDouble()) + errorMean) * ofClaim + median * ofLearned) / (ofClaim + ofLearned)
        val meanOverMedian = if (learned == null) 0.0 else 1 / (ofClaim + ofLearned) / 2
        return exp(log + meanOverMedian)
    }

    /** Standard deviation of the logarithm of a log-normal distribution with the same mean and 0.9 quantile. */
    private fun deviation(estimate: Estimate): Double {
        val ratio = ln((estimate.high / estimate.mean).coerceIn(1.0, MAX_HIGH_RATIO))
        return HIGH_DEVIATIONS - sqrt(HIGH_DEVIATIONS * HIGH_DEVIATIONS - 2 * ratio)
    }

    private fun shared(key: CostKey, entry: Entry): SharedCost {
        val claims = entry.claims
        return SharedCost(
            key.service,
            key.route,
            key.organisation,
            entry.distribution.samples,
            entry.distribution.mean.toInt(),
            entry.distribution.quantile(HIGH_SHARE).toInt(),
            if (claims.isMeasured) (exp(claims.mean) * PERCENT).toInt().coerceAtLeast(1) else 0,
            if (claims.isMeasured) (sqrt(claims.variance) * PERCENT).toInt() else 0,
        )
    }

    companion object {
        /** Some 400 bytes each. */
        const val MAX_KEYS = 256

        /** Answers are about half as long as their limit allows. */
        const val DEFAULT_OUTPUT_SHARE = 0.55

        /** Requests of a key before its figures are used; fewer say less than those of the whole route. */
        const val MIN_SAMPLES = 8
        const val MAX_SHARED = 12
        private const val MAX_PENDING = 16
        private const val MAX_PENDING_OF_KEY = 2
        private const val INITIAL_KEYS = 32
        private const val LOAD_FACTOR = 0.75f
        private const val USUAL_PERCENT = 100
        private const val PERCENT = 100.0

        /** A request is assumed to cost at most four times as much as the mean, and at least a quarter of it. */
        private const val MIN_COST_PERCENT = 25
        private const val MAX_COST_PERCENT = 400
        private const val HIGH_SHARE = 0.9

        /** Standard deviations from the mean of a normal distribution to its 0.9 quantile. */
        private const val HIGH_DEVIATIONS = 1.2816

        /** The highest ratio of the 0.9 quantile to the mean that a log-normal distribution has is exp(0.821). */
        private const val MAX_HIGH_RATIO = 2.2

        /** Variance of the logarithm of the length while only the limit is known. */
        private const val DEFAULT_VARIANCE = 1.0
        private const val MIN_VARIANCE = 0.01

        /** Hosts must know within a second what a coordinator has learned. */
        val SHARE_INTERVAL: Duration = 400.milliseconds

        /** Without news of a coordinator for this long, a host relies on its own samples. */
        private val SHARED_VALIDITY = 10.seconds
        private val LOG_INTERVAL = 5.seconds
    }
}
