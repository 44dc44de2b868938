package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.id.HostId
import io.anvilvalve.api.peer.SharedLoad
import kotlin.time.Duration

/** Load that all hosts place on each backend server: exact for this host, as last reported for the others. */
internal class ServerLoads(private val out: Outbox) {
    /** Requests at a backend server and the memory in tokens reserved for them. */
    class Load {
        var requests = 0
            private set
        var tokens = 0
            private set

        fun add(requests: Int, tokens: Int) {
            this.requests += requests
            this.tokens += tokens
        }
    }

    private class Report(val loads: List<SharedLoad>, val at: Duration)

    private val own = HashMap<BackendServerId, Load>()
    private val total = HashMap<BackendServerId, Load>()
    private val reports = HashMap<HostId, Report>()
    private var othersReport: Report? = null

    /** Number of changes of this host's own loads so far. */
    var changeCount = 0L
        private set
    private var memoryChanged = false

    /** Whether this host reserved or released engine memory since the last call; resets the flag. */
    fun consumeMemoryChanged(): Boolean = memoryChanged.also { memoryChanged = false }

    /** Current loads of this host, for reporting to peers. */
    val ownLoads: List<SharedLoad>
        get() = own.filterValues { it.requests > 0 }.map { (id, load) -> SharedLoad(id, load.requests, load.tokens) }

    /** Age of the oldest unexpired report of a peer; null if there is none. */
    val oldestReportAge: Duration? get() = (reports.values + listOfNotNull(othersReport)).maxOfOrNull {
        out.now - it.at
    }

    /** Loads of all hosts, including granted capacity. */
    val totals: List<SharedLoad>
        get() = total.filterValues { it.requests > 0 }.map { (id, load) -> SharedLoad(id, load.requests, load.tokens) }

    /** Requests of all hosts at [id]. */
    fun requests(id: BackendServerId): Int = total[id]?.requests ?: 0

    /** Memory in tokens reserved by the requests of all hosts at [id]. */
    fun tokens(id: BackendServerId): Int = total[id]?.tokens ?: 0

    fun add(id: BackendServerId, tokens: Int) = change(id, 1, tokens)

    fun remove(id: BackendServerId, tokens: Int) = change(id, -1, -tokens)

    /** Changes the memory reserved for a request at [id] by [tokens]. */
    fun adjust(id: BackendServerId, tokens: Int) = change(id, 0, tokens)

    fun applyReport(peer: HostId, loads: List<SharedLoad>) {
        removeReport(peer)
        reports[peer] = Report(loads, out.now)
        loads.forEach { total(it.server).add(it.requests, it.tokens) }
    }

    /** Replaces the loads of the other hosts by [totals] of all hosts, which include those of this host. */
    fun applyTotals(totals: List<SharedLoad>) {
        dropTotals()
        val others = totals.map { load ->
            val own = own[load.server]
            SharedLoad(
                load.server,
                (load.requests - (own?.requests ?: 0)).coerceAtLeast(0),
                (load.tokens - (own?.tokens ?: 0)).coerceAtLeast(0),
            )
        }
        othersReport = Report(others, out.now)
        others.forEach { total(it.server).add(it.requests, it.tokens) }
    }

    /** Forgets the totals of a coordinator, because this host receives the reports of the others itself. */
    fun dropTotals() {
        othersReport?.loads?.forEach { total(it.server).add(-it.requests, -it.tokens) }
        othersReport = null
    }

    /** Counts capacity that this host has granted to another one, which has not reported it yet. */
    fun addGrant(id: BackendServerId, tokens: Int) = total(id).add(1, tokens)

    /** Removes capacity added by [addGrant]. */
    fun removeGrant(id: BackendServerId, tokens: Int) = total(id).add(-1, -tokens)

    /** Removes a request at [id] from the last report of [host], which says that it ended. */
    fun releaseReported(host: HostId, id: BackendServerId) {
        val report = reports[host] ?: return
        val load = report.loads.firstOrNull { it.server == id && it.requests > 0 } ?: return
        val remaining = report.loads.map { if (it === load) it.copy(requests = it.requests - 1) else it }
        reports[host] = Report(remaining, report.at)
        total(id).add(-1, 0)
    }

    /** Removes expired reports of silent peers; the requests of a crashed host have ended with its connections. */
    fun tick() {
        reports.filterValues(::isExpired).keys.toList().forEach(::removeReport)
        if (othersReport?.let(::isExpired) == true) dropTotals()
    }

    private fun isExpired(report: Report) = out.now - report.at > RoutingTimes.LOAD_REPORT_EXPIRY

    private fun removeReport(peer: HostId) {
        reports.remove(peer)?.loads?.forEach { total(it.server).add(-it.requests, -it.tokens) }
    }

    private fun change(id: BackendServerId, requests: Int, tokens: Int) {
        changeCount++
        if (requests != 0 && tokens != 0) memoryChanged = true
        own.getOrPut(id) { Load() }.add(requests, tokens)
        total(id).add(requests, tokens)
    }

    private fun total(id: BackendServerId) = total.getOrPut(id) { Load() }
}
