package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.HostId
import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.log.Member
import io.anvilvalve.api.peer.FleetSummary
import io.anvilvalve.api.result.LogEvent
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Selects the coordinators of a large fleet.
 *
 * In a fleet of up to [Peers.SMALL_FLEET] hosts, every host sends its state to all others. In a larger one, hosts send it to
 * [COORDINATORS] hosts, the first ones by rank, which send sums back. The first available coordinator selects backend
 * servers for the requests of all hosts. Every host selects the coordinators by its own knowledge; hosts that disagree
 * for a moment report to more hosts than necessary.
 */
internal class Coordinators(private val self: Member, private val out: Outbox, private val peers: Peers) {
    /** The latest summary of a coordinator; [totalsSince] is the time since when its summaries have had totals. */
    private class Received(val summary: FleetSummary, val at: Duration, val totalsSince: Duration?)

    /** Totals that a coordinator sent [age] ago. */
    class ReceivedTotals(val totals: FleetSummary.Totals, val age: Duration)

    /** Number of hosts whose admissions were in totals that arrived [at]. */
    private class Coverage(val hosts: Int, val at: Duration)

    private val summaries = HashMap<HostId, Received>()
    private val suspectedUntil = HashMap<HostId, Duration>()
    private var reportedAt: Duration? = null
    private val coverages = ArrayDeque<Coverage>()
    private var directAt: Duration? = null

    /** Time since when all others have been silent in a large fleet; null while some host is heard or mentioned. */
    private var aloneSince: Duration? = null
    private var last: List<Member> = emptyList()

    /** Whether every host sends its state to all others. */
    val isDirect: Boolean get() = peers.isSmallFleet

    /** Whether this host collects reports and sends summaries. */
    var selfCoordinates: Boolean = false
        private set

    /** The other hosts to which this host reports: the first by rank among the alive ones, and the first of all. */
    val targets: List<Member>
        get() = (firstAlive() + peers.ranked.take(COORDINATORS)).distinctBy { it.host }.filter { it.host != self.host }

    /**
     * Share of all hosts that this host may assume to take part in common limits: those whose admissions are in the
     * sums that it uses. A host that no coordinator hears, or that gets no totals, counts only itself, because it and
     * the others do not know what each other admit.
     */
    val fleetShare: Double
        get() = when {
            isDirect -> peers.aliveShare
            hearsMost -> minOf(peers.aliveShare, peers.reportingShare(COVERAGE_TIME))
            else -> minOf(peers.aliveShare, totalsShare ?: (1.0 / (peers.size + 1)))
        }

    /** Time since this host received the usage of the others; null if it never has. */
    val usageAge: Duration?
        get() = if (isDirect || hearsMost) peers.oldestReportAge else coverages.lastOrNull()?.let { out.now - it.at }

    /** Share of all hosts in the most complete totals; null if no coordinator that hears this host sends any. */
    private val totalsShare: Double?
        get() = coverages
            .filter { out.now - it.at < RoutingTimes.SUMMARY_TIMEOUT }
            .maxOfOrNull { it.hosts.toDouble() / (peers.size + 1) }
            ?: directAt?.takeIf { out.now - it < RoutingTimes.SUMMARY_TIMEOUT }?.let { peers.aliveShare }

    /**
     * Totals to use when [summary] arrives: its own while all coordinators cover the same number of hosts and have sent
     * totals for some time. Otherwise, e.g. after a network cut or a freeze, some lack what hosts admitted before they
     * heard them, and former coordinators lack the latest admissions, so those of all coordinators are to be compared.
     */
    fun totalsToUse(summary: FleetSummary): List<ReceivedTotals> {
        val current = currentTotals()
        val isSteady = current.all { received ->
            received.summary.alive.size == summary.alive.size &&
                received.totalsSince?.let { out.now - it >= RoutingTimes.REPORT_TIMEOUT } == true
        }
        return current.filter { !isSteady || it.summary === summary }.mapNotNull { received ->
            received.summary.totals?.let { ReceivedTotals(it, out.now - received.at) }
        }
    }

    /** Whether this host is a coordinator that most hosts report to, so that it knows the load and usage of the fleet. */
    val hearsMost: Boolean get() = selfCoordinates && peers.reportingShare > MIN_HEARD_SHARE

    /** Whether a coordinator that can read the store sends summaries to this host. */
    val readStore: Boolean
        get() = summaries.values.any {
            val age = out.now - it.at
            age < RoutingTimes.SUMMARY_TIMEOUT &&
                age + it.summary.storeAgeMillis.milliseconds < RoutingTimes.STORE_NEWS_LIMIT
        }

    /** Updates [selfCoordinates]; to be called once per tick and after reports. */
    fun update() {
        if (isDirect) directAt = out.now
        val isAlone = !isDirect && peers.silentCount == peers.size
        aloneSince = if (isAlone) aloneSince ?: out.now else null
        val first = firstAlive()
        selfCoordinates = !isDirect && (first.any { it.host == self.host } || isReportedTo())
        if (first.map { it.host } == last.map { it.host }) return
        last = first
        if (!isDirect) out.log(LogEvent.COORDINATORS_CHANGED, "coordinators" to first.joinToString { it.host.value })
    }

    /** Records that a host sent a report, because it considers this host a coordinator. */
    fun reported() {
        reportedAt = out.now
        if (!selfCoordinates) update()
    }

    /** Records [summary]; returns false if a newer one of the same incarnation has already been received. */
    fun receive(summary: FleetSummary): Boolean {
        val last = summaries[summary.member.host]?.takeIf {
            it.summary.member.incarnation == summary.member.incarnation
        }
        if (last != null && last.summary.number >= summary.number) return false
        val lastTotalsSince = last?.takeIf { out.now - it.at < RoutingTimes.SUMMARY_TIMEOUT }?.totalsSince
        val totalsSince = summary.totals?.let { lastTotalsSince ?: out.now }
        summaries[summary.member.host] = Received(summary, out.now, totalsSince)
        coverages.removeAll { out.now - it.at >= RoutingTimes.SUMMARY_TIMEOUT }
        // A coordinator without totals, e.g. in the smaller part of a cut fleet, does not tell what the others admit.
        if (summary.totals != null && self.incarnation.hash in summary.alive) {
            coverages += Coverage(summary.alive.size + 1, out.now)
        }
        return true
    }

    /**
     * The coordinator that selects backend servers for this host's requests; null if this host selects them itself.
     *
     * @param selfAvailable whether this host may place requests for others.
     */
    fun placer(selfAvailable: Boolean): Member? {
        if (isDirect) return null
        for (member in peers.ranked) {
            if (member.host == self.host) {
                if (selfAvailable) return null
            } else if (isAvailable(member.host)) {
                return member
            }
        }
        return null
    }

    /** The first other coordinator that sends summaries and places requests, whether or not it answers in time. */
    val firstHeard: Member?
        get() = peers.ranked.firstOrNull { member ->
            summaries[member.host]?.let {
                out.now - it.at < RoutingTimes.SUMMARY_TIMEOUT && it.summary.available
            } == true
        }

    /** The coordinator [host] if [incarnation] is its current one. */
    fun member(host: HostId, incarnation: Incarnation): Member? =
        peers[host]?.member?.takeIf { it.incarnation == incarnation }

    /** Whether [host] is a coordinator that places requests for others and answers. */
    fun isAvailable(host: HostId): Boolean {
        val received = summaries[host] ?: return false
        if (out.now - received.at >= RoutingTimes.SUMMARY_TIMEOUT || !received.summary.available) return false
        return suspectedUntil[host]?.let { out.now >= it } != false
    }

    /** Uses other coordinators than [host] for some time, because it did not answer. */
    fun suspect(host: HostId) {
        suspectedUntil[host] = out.now + RoutingTimes.SUSPICION_TIME
    }

    private fun firstAlive(): List<Member> = aloneSince?.let(::selectNext)
        ?: peers.ranked.asSequence().filter(peers::isSelfOrAlive).take(COORDINATORS).toList()

    /**
     * Hosts know of most others through the coordinators only, so when all of these are lost at once, everybody seems to
     * be gone. A host then reports to three hosts after the other, until some of them coordinate.
     */
    private fun selectNext(since: Duration): List<Member> {
        val ranked = peers.ranked
        val first = ((out.now - since) / RoutingTimes.REPORT_TIMEOUT).toInt() + 1
        return List(COORDINATORS) { ranked[(first * COORDINATORS + it).mod(ranked.size)] }.distinct()
    }

    private fun isReportedTo() = reportedAt?.let { out.now - it < RoutingTimes.REPORT_TIMEOUT } == true

    private fun currentTotals() =
        summaries.values.filter { it.summary.totals != null && out.now - it.at < RoutingTimes.SUMMARY_TIMEOUT }

    companion object {
        /** With two coordinators lost at the same time, one that knows the state of the fleet is left. */
        const val COORDINATORS = 3
        private const val MIN_HEARD_SHARE = 0.5

        /**
         * A host that has just become silent still counts, because its admissions are known: for as long as the hosts
         * that get the totals consider it alive. With REPORT_TIMEOUT alone, twice as many callers were refused in a cut
         * of 3 s.
         */
        private val COVERAGE_TIME = RoutingTimes.REPORT_TIMEOUT + RoutingTimes.SUMMARY_TIMEOUT
    }
}
