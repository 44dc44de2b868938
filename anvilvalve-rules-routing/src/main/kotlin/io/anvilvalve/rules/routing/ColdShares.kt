package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.id.HostId
import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.log.Member
import io.anvilvalve.api.peer.GrantsSeen
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes

/**
 * Part of a cold server's budget that this host may select.
 *
 * The parts of all hosts add up to the budget, whoever is killed, frozen or cut off, so no host needs to know what the
 * others do. In a small fleet the hosts divide the whole budget. In a large one the first coordinator has [FIRST], the
 * others that hosts may ask have [OTHER] each, and all hosts divide [ALONE] for what no coordinator places.
 */
internal class ColdShares(
    private val self: Member,
    private val out: Outbox,
    private val peers: Peers,
    private val coordinators: Coordinators,
) {
    /** A host that reports what coordinators have granted to it. */
    private class Reporter {
        var grants: Map<Incarnation, Long> = emptyMap()
        var grantedHereAt: Duration? = null
        var grantedElsewhereAt: Duration? = null
    }

    private var hostsReadAt: Duration? = null
    private var observedAt: Duration? = null
    private var firstSince: Duration? = null
    private var isAvailable = false
    private val reporters = HashMap<HostId, Reporter>()

    /** Largest list of hosts of the recent past: a host that hears nobody forgets the others after a while. */
    private var fleet: List<HostId> = listOf(self.host)
    private var fleetAt: Duration = Duration.ZERO
    private var fleetCheckedAt: Duration = Duration.ZERO

    /**
     * Records what this host is at present; called for every event.
     *
     * @param isAvailable whether this host places requests for others.
     * @param isFirst whether it does so as the first coordinator.
     * @param areHostsRead whether the list of hosts has been read from the store.
     */
    fun observe(isAvailable: Boolean, isFirst: Boolean, areHostsRead: Boolean) {
        val wasPaused = observedAt?.let { out.now - it > MAX_PAUSE } != false
        observedAt = out.now
        this.isAvailable = isAvailable
        firstSince = if (isFirst) firstSince.takeUnless { wasPaused } ?: out.now else null
        if (areHostsRead && hostsReadAt == null) hostsReadAt = out.now
        if (out.now - fleetCheckedAt >= FLEET_CHECK_INTERVAL) checkFleet()
    }

    /** Records the latest [seen] grants that [host] reports, which show whom it asks. */
    fun grantsReported(host: HostId, seen: List<GrantsSeen>) {
        val reporter = reporters.getOrPut(host) { Reporter() }
        for (grant in seen.filter { it.grant != reporter.grants[it.coordinator] }) {
            if (grant.coordinator == self.incarnation) {
                reporter.grantedHereAt = out.now
            } else {
                reporter.grantedElsewhereAt = out.now
            }
        }
        reporter.grants = seen.associate { it.coordinator to it.grant }
        if (reporters.size > MAX_HOSTS_OVER_FLEET + fleet.size) reporters.keys.retainAll { peers[it] != null }
    }

    /** Requests that this host may select for the server [id] in a window, if all hosts may select [budget] together. */
    fun allowance(id: BackendServerId, budget: Double): Int = when {
        hostsReadAt?.let { out.now - it < JOINING_TIME } != false -> 0
        fleet.size <= Peers.SMALL_FLEET && coordinators.isDirect -> unitsOf(id, budget)
        isAvailable -> (budget * if (isSoleFirst) FIRST else OTHER).toInt()
        else -> unitsOf(id, budget * ALONE)
    }

    /**
     * Whether this host has been the first coordinator for longer than the grants of its predecessor count, and most
     * hosts ask no other one. A single lost packet makes a host ask another coordinator, which grants little.
     */
    private val isSoleFirst: Boolean
        get() {
            if (firstSince?.let { out.now - it >= HANDOVER_TIME } != true) return false
            val elsewhere = reporters.values.count { isRecent(it.grantedElsewhereAt) }
            return elsewhere == 0 || elsewhere < reporters.values.count { isRecent(it.grantedHereAt) }
        }

    private fun isRecent(time: Duration?) = time != null && out.now - time < HANDOVER_TIME

    /** Whole requests, divided so that the parts of all hosts add up to [budget]; servers differ in who gets more. */
    private fun unitsOf(id: BackendServerId, budget: Double): Int {
        val total = budget.toInt()
        val rank = (fleet.indexOf(self.host) + id.value.hashCode()).mod(fleet.size)
        return total * (rank + 1) / fleet.size - total * rank / fleet.size
    }

    private fun checkFleet() {
        fleetCheckedAt = out.now
        if (peers.size + 1 < fleet.size && out.now - fleetAt <= FLEET_MEMORY) return
        fleetAt = out.now
        if (peers.size + 1 == fleet.size && fleet.all { it == self.host || peers[it] != null }) return
        fleet = (peers.all.map { it.member.host } + self.host).sortedBy { it.value }
    }

    private companion object {
        const val FIRST = 0.6
        const val OTHER = 0.1

        /** What is left when the first coordinator and two others use their parts. */
        const val ALONE = 0.2

        /** Longer than the window in which requests are counted, and than a summary is on its way. */
        val HANDOVER_TIME = 2_500.milliseconds

        /** A host that handled no event for so long may have been frozen while another one took over. */
        val MAX_PAUSE = 500.milliseconds

        /** A host that has just read who else there is waits until it hears them and they hear it. */
        val JOINING_TIME = RoutingTimes.REPORT_TIMEOUT

        val FLEET_CHECK_INTERVAL = 100.milliseconds

        /** Longer than cuts of the network last; replaced hosts count for this long. */
        val FLEET_MEMORY = 2.minutes
        const val MAX_HOSTS_OVER_FLEET = 64
    }
}
