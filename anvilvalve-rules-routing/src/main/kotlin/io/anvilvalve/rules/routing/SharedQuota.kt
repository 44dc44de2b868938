package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.peer.SharedUsage
import io.anvilvalve.api.routing.OrganisationRule
import io.anvilvalve.api.routing.RecordedUsage
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.DurationUnit

/**
 * Tokens that all hosts admitted for one organisation in the last window, limited to rate x window + burst.
 *
 * Every host counts its own admissions at once, and those of the others when they report them. Only a part of the slack
 * that the operators allow is used; the rest covers reports in transit. A silent host may still admit requests, so each
 * host limits itself to the share of the hosts that are alive.
 *
 * The count does not depend on the configuration: it goes on while no version has the organisation, so that a version
 * that adds it again finds what was admitted.
 *
 * @param recorded usage before this host started.
 */
internal class SharedQuota(
    val id: QuotaId,
    private val terms: QuotaTerms,
    now: Duration,
    recorded: RecordedUsage? = null,
) {
    /** The latest rule of the organisation, also after it was withdrawn; null if no version has had one. */
    private var rule: OrganisationRule? = null

    /** Whether the configuration in force has the organisation. */
    var isConfigured: Boolean = false
        private set

    private val own = SlidingWindowCounter(terms.window)

    /** Admissions of the other hosts, and of all hosts before this one started. */
    private val others = SlidingWindowCounter(terms.window)

    /** Latest usage of one other host that is known, as of [at]. */
    private class Report(val usage: SharedUsage, val at: Duration) {
        val recent: Long get() = usage.recent ?: 0
    }

    private val reports = HashMap<Incarnation, Report>()

    /** Number of [reports] at which the old ones are removed. */
    private var fullReports = MIN_FULL_REPORTS

    /** Time until which [others] may lack what a host admitted before this host received its reports. */
    private var incompleteUntil: Duration? = null

    /** Questions of other hosts that this host, as coordinator, has refused and whose tokens they have not released yet. */
    private val refused = RefusedQuestions()

    /** Tokens that this host has admitted since the count began, and those of them that were released. */
    private var admitted = 0L
    private var released = 0L
    private var releasedTokenMillis = 0L

    /** Tokens that were admitted after the record from the store was written, by an estimate. */
    private val unrecorded: Double = recorded?.slices.orEmpty().take(UNRECORDED_SLICES).sum().toDouble()

    /** Lowest usage in tokens since the last record. */
    private var lowestUsed = 0.0

    init {
        // All hosts may have restarted at once, and their admissions before the restart still count.
        recorded?.let { others.restore(it.slices, now) }
    }

    private val limit: Double
        get() = rule?.let { it.ratePerSecond * terms.window.toDouble(DurationUnit.SECONDS) + it.burst } ?: 0.0

    /** Applies the rule of a configuration. */
    fun configure(next: OrganisationRule, now: Duration) {
        val isFirst = rule == null
        rule = next
        isConfigured = true
        if (isFirst) assumeUsage(now)
    }

    /** Records that the configuration in force lacks the organisation. */
    fun withdraw() {
        isConfigured = false
    }

    /** Whether nothing is left of the usage. */
    fun isEmpty(now: Duration): Boolean = usedTokens(now) < 1.0

    /** Usage for a report of this host. */
    fun report(now: Duration) = SharedUsage(
        organisation = id.organisation,
        admitted = admitted - released,
        known = used(now),
        recent = own.sum(now).toLong(),
        released = released,
        releasedTokenMillis = releasedTokenMillis,
        countsTokens = id.countsTokens,
    )

    /** Usage for totals. */
    fun total(now: Duration) =
        SharedUsage(id.organisation, admitted - released, used(now), countsTokens = id.countsTokens)

    /** Tokens that all hosts admitted in the window, as far as this host knows. */
    fun used(now: Duration): Long = usedTokens(now).toLong()

    /**
     * Whether usage is so high that a restart without a record, which assumes [INITIAL_USAGE_SHARE], could exceed the
     * quota.
     */
    fun isNear(now: Duration): Boolean = limit > 0.0 && usedTokens(now) > limit * NEAR_QUOTA_SHARE

    /**
     * Whether usage near the quota has risen by more than [RISE_SHARE] of the quota since its lowest value after the
     * last record, so that a new record must be written at once.
     */
    fun hasRisen(now: Duration): Boolean {
        lowestUsed = minOf(lowestUsed, usedTokens(now))
        return isNear(now) && usedTokens(now) - lowestUsed > limit * RISE_SHARE
    }

    /** Usage to write to the store. */
    fun record(now: Duration) =
        RecordedUsage(id.organisation, own.slices(now).zip(others.slices(now), Long::plus), id.countsTokens)

    /** Marks the usage at [now] as being written to the store. */
    fun markRecorded(now: Duration) {
        lowestUsed = usedTokens(now)
    }

    /** Whether the organisation has a limit. */
    val isLimited: Boolean get() = limit > 0.0

    /** Reserves [cost] tokens; returns false if fewer are left in the [share] of the quota that the alive hosts may use. */
    fun tryReserve(cost: Int, share: Double, now: Duration): Boolean {
        if (usedTokens(now) + cost > allowed(share)) return false
        own.add(cost.toDouble(), now)
        admitted += cost
        return true
    }

    /**
     * Releases the tokens of a request that was not executed, where they were counted. One that was reserved before the
     * window is not counted any more.
     */
    fun release(reservation: QuotaReservation, now: Duration) {
        val age = now - reservation.at
        if (age > terms.window) return
        own.remove(reservation.tokens.toDouble(), reservation.at, now)
        released += reservation.tokens
        releasedTokenMillis += reservation.tokens * age.inWholeMilliseconds
    }

    /**
     * Counts the [usage] of the host [incarnation] that a question to this coordinator contains; returns false if its last
     * report is too old to tell what has changed since.
     */
    fun applyQuestion(incarnation: Incarnation, usage: SharedUsage, now: Duration): Boolean {
        val last = reports[incarnation]?.takeIf { now - it.at <= RoutingTimes.REPORT_TIMEOUT } ?: return false
        val change = UsageChange.between(last.usage, usage) ?: return false
        addPeerUsage(incarnation, change, now)
        reports[incarnation] = Report(usage, now)
        return true
    }

    /** The latest usage known of the host [incarnation]; null if there is none of this window. */
    fun latestUsage(incarnation: Incarnation): SharedUsage? = reports[incarnation]?.usage

    /**
     * Decides on [tokens] that a host has reserved for its [question]; [isCounted] tells whether the count has them already.
     * Returns null if they are within the [share] of the quota, otherwise the time until they may be.
     */
    fun confirm(question: QuestionId, tokens: Int, isCounted: Boolean, share: Double, now: Duration): Duration? {
        val missing = if (isCounted) 0 else tokens
        if (usedTokens(now) + missing <= allowed(share)) return null
        val wait = waitFor(missing, share, now)
        if (isCounted) refused.add(question, tokens, now)
        return wait
    }

    /** Records that the host withdrew its [question], so that it does not heed the answer. */
    fun withdrawn(question: QuestionId) = refused.withdrawn(question)

    /**
     * Share of the requests that hosts may admit that know the usage of the others only as of some time ago, so that a surge
     * does not exceed what the operators allow; 0 if [share] of the quota is used up already.
     */
    fun unconfirmedShare(share: Double, now: Duration): Double {
        val used = usedTokens(now)
        if (!isLimited || used <= 0.0) return 1.0
        if (used > allowed(share)) return 0.0
        val room = limit + limit * terms.overshoot + terms.slack - used
        val surge = used * SURGE_FACTOR * (UNCONFIRMED_TIME / terms.window)
        return (room / surge).coerceAtMost(1.0)
    }

    /** Adds what the host [incarnation] admitted and released since its last report, shortly before. */
    fun addPeerUsage(incarnation: Incarnation, change: UsageChange, now: Duration) {
        refused.released(incarnation, change.released)
        others.add(change.admitted.toDouble(), now)
        val addedAt = (now - change.releasedAge).coerceAtLeast(Duration.ZERO)
        if (change.released > 0) others.remove(change.released.toDouble(), addedAt, now)
    }

    /** Adds the tokens that a peer admitted since its last report, longer ago than the reports' usual interval. */
    fun addPeerUsageAfterGap(tokens: Long, now: Duration) = others.addEvenly(tokens.toDouble(), now)

    /**
     * Records the [usage] that the host [incarnation] has reported; [isFollowing] tells whether all that it
     * admitted before is known from its previous report, received a short time before.
     */
    fun recordReport(incarnation: Incarnation, usage: SharedUsage, isFollowing: Boolean, now: Duration) {
        if (reports.size >= fullReports) {
            removeOldReports(now)
            fullReports = maxOf(MIN_FULL_REPORTS, reports.size * 2)
        }
        reports[incarnation] = Report(usage, now)
        if (!isFollowing) incompleteUntil = now + terms.window
    }

    /** Time until [cost] tokens can be reserved at the configured rate. */
    fun waitFor(cost: Int, share: Double, now: Duration): Duration {
        val rate = limit / terms.window.toDouble(DurationUnit.SECONDS)
        if (rate <= 0.0) return LONGEST_WAIT
        val missing = usedTokens(now) + cost - allowed(share)
        return (missing / rate * MILLIS_PER_SECOND).toLong().milliseconds.coerceIn(SHORTEST_WAIT, LONGEST_WAIT)
    }

    /** Replaces the usage of the others by the [known] usage of all hosts, spread evenly over the window. */
    fun replaceUsage(known: Long, now: Duration) {
        others.clear()
        others.addEvenly((known - own.sum(now)).coerceAtLeast(0.0), now)
    }

    /**
     * Assumes usage that this host cannot know. Admissions after the record was written are assumed to equal those of the
     * slices just before it, up to the quota.
     */
    private fun assumeUsage(now: Duration) {
        others.add(minOf(unrecorded, (limit - others.sum(now)).coerceAtLeast(0.0)), now)
        others.addEvenly((limit * INITIAL_USAGE_SHARE - others.sum(now)).coerceAtLeast(0.0), now)
    }

    /** While [others] may be incomplete, e.g. after a cut, the latest reports of all hosts are a lower bound. */
    private fun usedTokens(now: Duration): Double {
        val isComplete = incompleteUntil?.let { now >= it } != false
        val all = own.sum(now) + if (isComplete) others.sum(now) else maxOf(others.sum(now), reportedTokens(now))
        return (all - refused.tokens(now)).coerceAtLeast(0.0)
    }

    /** Tokens in [reports], as if each host had admitted them evenly over the window and none since. */
    private fun reportedTokens(now: Duration): Double {
        removeOldReports(now)
        return reports.values.sumOf { it.recent * (1.0 - (now - it.at) / terms.window) }
    }

    private fun removeOldReports(now: Duration) {
        reports.values.removeIf { now - it.at >= terms.window }
    }

    private fun allowed(share: Double): Double =
        (limit + (limit * terms.overshoot + terms.slack) * USED_SLACK_SHARE) * share

    private companion object {
        const val MILLIS_PER_SECOND = 1_000.0

        /**
         * Usage assumed at a start, as a share of the quota. A start takes 2 s or more, in which a part of the window
         * passes. With 0.65 the quota of a window was exceeded.
         */
        const val INITIAL_USAGE_SHARE = 0.8

        const val MIN_FULL_REPORTS = 16

        /** Lower usage is covered by [INITIAL_USAGE_SHARE]. */
        const val NEAR_QUOTA_SHARE = 0.5

        /** Half of the slack that remains unused at the largest quotas. */
        const val RISE_SHARE = 0.05

        /** Slices of 1/32 of the window; three cover the interval between records and a delayed report. */
        const val UNRECORDED_SLICES = 3

        /** The rest covers what both sides of a network partition admit in the second before they detect it. */
        const val USED_SLACK_SHARE = 0.3

        /** Traffic of an organisation in a surge, as a multiple of its mean in the window. */
        const val SURGE_FACTOR = 12

        /** Time until hosts that lost their coordinators use their part of each quota only, and a report in transit. */
        val UNCONFIRMED_TIME = RoutingTimes.SUMMARY_TIMEOUT + RoutingTimes.SUMMARY_DELAY
        val SHORTEST_WAIT = 200.milliseconds
        val LONGEST_WAIT = 10_000.milliseconds
    }
}
