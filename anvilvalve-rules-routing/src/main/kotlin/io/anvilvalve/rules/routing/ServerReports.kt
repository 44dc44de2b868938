package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.peer.FleetSummary

/** States of backend servers that this host, its peers and the coordinators report. */
internal class ServerReports(private val peers: Peers, private val balance: StageBalance) {
    private var current: Boolean = false
    private var changing: Set<BackendServerId> = emptySet()
    private var unreachableAt: Map<BackendServerId, Int> = emptyMap()
    private var totals: FleetSummary.Totals? = null

    /** Engines that are changing their stage and accept no work, as far as any host knows. */
    val allChanging: Set<BackendServerId>
        get() {
            refresh()
            return changing + balance.changing
        }

    /** Backend servers to which some other host recently failed to connect. */
    val allUnreachable: Set<BackendServerId>
        get() {
            refresh()
            return unreachableAt.keys
        }

    /** Discards what was derived from reports; to be called when a report arrives and at every tick. */
    fun invalidate() {
        current = false
    }

    /** Uses the [totals] of a coordinator; null once this host receives the reports of the others itself. */
    fun useTotals(totals: FleetSummary.Totals?) {
        this.totals = totals
        current = false
    }

    /** Whether an engine is changing its stage and accepts no work. */
    fun isChanging(server: BackendServerId): Boolean {
        refresh()
        return server in changing || server in balance.changing
    }

    /** Number of other hosts that recently failed to connect to the server. This host may still reach it. */
    fun unreachableCount(server: BackendServerId): Int {
        refresh()
        return unreachableAt[server] ?: 0
    }

    private fun refresh() {
        if (current) return
        current = true
        val reports = peers.all.filter(peers::isHeard).mapNotNull { it.lastMessage }
        changing = reports.flatMapTo(HashSet()) { it.changing } + totals?.changing.orEmpty()
        val counts = HashMap<BackendServerId, Int>()
        totals?.unreachable.orEmpty().forEach { counts[it] = 1 }
        reports.forEach { report -> report.unreachable.forEach { counts.merge(it, 1, Int::plus) } }
        unreachableAt = counts
    }
}
