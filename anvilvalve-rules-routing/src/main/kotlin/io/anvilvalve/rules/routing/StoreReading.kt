package io.anvilvalve.rules.routing

import io.anvilvalve.api.result.LogEvent
import kotlin.time.Duration

/**
 * Decides whether this host follows changes in the store itself.
 *
 * In a large fleet only the coordinators do, and tell the others. A host that hears of no coordinator with recent state, or
 * does not get the state that one names, follows the store itself until that has been over for some time.
 */
internal class StoreReading(
    private val out: Outbox,
    private val peers: Peers,
    private val coordinators: Coordinators,
    private val state: StateFollower,
    private val hosts: HostEntries,
    private val exchange: StateExchange,
) {
    private data class Mode(val active: Boolean, val wait: Duration)

    private var mode = Mode(active = true, RoutingTimes.READ_WAIT)
    private var neededAt: Duration? = null
    private var hostsReadAt: Duration? = null

    fun tick() {
        val isNeeded = coordinators.isDirect || coordinators.selfCoordinates || !coordinators.readStore ||
            exchange.isOverdue
        if (isNeeded || !state.complete) neededAt = out.now
        val isActive = neededAt?.let { out.now - it < RoutingTimes.STORE_READING_TIME } == true
        val wait = if (coordinators.selfCoordinates) RoutingTimes.COORDINATOR_READ_WAIT else RoutingTimes.READ_WAIT
        update(Mode(isActive, wait))
        readHosts()
    }

    private fun update(next: Mode) {
        if (next == mode) return
        if (next.active != mode.active) {
            out.log(
                LogEvent.STORE_READING_CHANGED,
                "reading" to next.active,
                "coordinator" to coordinators.selfCoordinates,
                "overdue" to exchange.isOverdue,
            )
        }
        mode = next
        out.emit(RoutingEffect.FollowStore(next.active, next.wait))
    }

    /**
     * Reads the hosts again if a coordinator mentions an unknown one, if no known host is alive, if the store may have
     * lost entries, or to check the entries.
     */
    private fun readHosts() {
        val isAlone = peers.size > 0 && peers.silentCount == peers.size
        val since = hostsReadAt?.let { out.now - it } ?: Duration.INFINITE
        if (since < RoutingTimes.HOSTS_READ_INTERVAL) return
        val isMissing = peers.consumeUnknownMentioned() || isAlone || state.isHostListOutdated
        if (!isMissing && !hosts.isReadDue) return
        hostsReadAt = out.now
        out.emit(RoutingEffect.ReadHosts)
    }
}
