package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.routing.OrganisationRule
import io.anvilvalve.api.routing.RecordedUsage
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/**
 * What all hosts admitted of one organisation in the last window, against rate x window + burst.
 *
 * Every host counts its own admissions at once and those of the others when they report them. A part of the slack that
 * the operators allow is used, and the rest covers reports under way. A silent host may admit as well: every host keeps
 * to the share of the hosts that hear each other.
 */
internal class SharedQuota(
    rule: OrganisationRule,
    private val terms: QuotaTerms,
    now: Duration,
    recorded: RecordedUsage? = null,
) {
    private var rule = rule
    private val used = SlidingWindowCounter(terms.window)

    /** Tokens that this host has admitted since it started. */
    var admitted: Long = 0
        private set

    /** Lowest usage since the last record. */
    private var lowestUsed = 0.0

    val id: OrganisationId = rule.id

    init {
        // All hosts may have been restarted at once, and what they admitted before still counts.
        recorded?.let { restore(it.slices, now) }
        used.addEvenly((limit * INITIAL_USAGE_SHARE - used.sum(now)).coerceAtLeast(0.0), now)
    }

    private val limit: Double
        get() = rule.ratePerSecond * terms.window.toDouble(DurationUnit.SECONDS) + rule.burst

    fun update(next: OrganisationRule) {
        rule = next
    }

    /** Tokens that all hosts admitted in the window, as far as they are known. */
    fun used(now: Duration): Long = used.sum(now).toLong()

    /** Whether a start that only assumes usage could exceed the quota. */
    fun isNear(now: Duration): Boolean = limit > 0.0 && used.sum(now) > limit * NEAR_QUOTA_SHARE

    /** Whether usage near the quota has risen much since [recorded], so that the record is to be replaced at once. */
    fun hasRisen(now: Duration): Boolean {
        lowestUsed = minOf(lowestUsed, used.sum(now))
        return isNear(now) && used.sum(now) - lowestUsed > limit * RISE_SHARE
    }

    /** What is to be written to the store. */
    fun record(now: Duration) = RecordedUsage(id, used.slices(now))

    /** Notes that a record of the usage at [now] is being written. */
    fun markRecorded(now: Duration) {
        lowestUsed = used.sum(now)
    }

    /** Takes [cost] tokens; false when there are too few for [share] of the hosts. */
    fun tryReserve(cost: Int, share: Double, now: Duration): Boolean {
        if (limit <= 0.0) return true
        if (used.sum(now) + cost > allowed(share)) return false
        add(cost.toDouble(), now)
        return true
    }

    /** Gives back tokens of a request that has not run. */
    fun release(cost: Int, now: Duration) = add(-cost.toDouble(), now)

    /** Adds what a peer admitted since its last report. */
    fun addPeerUsage(tokens: Long, now: Duration) = used.add(tokens.toDouble(), now)

    /** Time until [cost] tokens can be taken at the configured rate. */
    fun waitFor(cost: Int, share: Double, now: Duration): Duration {
        val rate = limit / terms.window.toDouble(DurationUnit.SECONDS)
        if (rate <= 0.0) return LONGEST_WAIT
        val missing = used.sum(now) + cost - allowed(share)
        return (missing / rate * MILLIS_PER_SECOND).toLong().milliseconds.coerceIn(SHORTEST_WAIT, LONGEST_WAIT)
    }

    /** Takes over what a peer knows that was admitted in the last window. */
    fun replaceUsage(known: Long, now: Duration) {
        used.clear()
        used.addEvenly(known.toDouble(), now)
    }

    /**
     * Counts [slices] of a record as if it had been written now. What was admitted after it was written is unknown and
     * counts as much as the time before, up to the quota.
     */
    private fun restore(slices: List<Long>, now: Duration) {
        used.restore(slices, now)
        val unrecorded = slices.take(UNRECORDED_SLICES).sum().toDouble()
        used.add(minOf(unrecorded, (limit - used.sum(now)).coerceAtLeast(0.0)), now)
    }

    private fun add(tokens: Double, now: Duration) {
        used.add(tokens, now)
        admitted += tokens.toLong()
    }

    private fun allowed(share: Double): Double =
        (limit + (limit * terms.overshoot + terms.slack) * USED_SLACK_SHARE) * share

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        /** A start takes two seconds or more, in which a part of the window passes; 0.65 exceeded the quota of a window. */
        const val INITIAL_USAGE_SHARE = 0.8

        /** What is assumed at a start covers smaller usage. */
        const val NEAR_QUOTA_SHARE = 0.5

        /** Half of what the slack leaves over at the largest quotas. */
        const val RISE_SHARE = 0.05

        /** Slices of a 32nd of the window; three cover the interval of the records and a late report. */
        const val UNRECORDED_SLICES = 3

        /** The rest covers what both sides of a cut admit in the second before they notice it. */
        const val USED_SLACK_SHARE = 0.3
        val SHORTEST_WAIT = 200.milliseconds
        val LONGEST_WAIT = 10_000.milliseconds
    }
}
