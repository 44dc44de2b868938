package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.id.HostId
import io.anvilvalve.api.peer.SharedLoad
import kotlin.time.Duration

/** What all hosts have at each backend server: exact for this host, as last reported for the others. */
internal class ServerLoads(private val out: Outbox) {
    /** Requests at a backend server and the memory that they need at most. */
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

    /** Changes of this host's own loads so far. */
    var changeCount = 0L
        private set
    private var memoryChanged = false

    /** Whether memory was set aside or freed by this host since the last call. */
    fun consumeMemoryChanged(): Boolean = memoryChanged.also { memoryChanged = false }

    /** What this host has now, for its peers. */
    val ownLoads: List<SharedLoad>
        get() = own.filterValues { it.requests > 0 }.map { (id, load) -> SharedLoad(id, load.requests, load.tokens) }

    /** Age of the oldest report of a peer that counts; null when there is none. */
    val oldestReportAge: Duration? get() = reports.values.maxOfOrNull { out.now - it.at }

    /** Requests of all hosts at [id]. */
    fun requests(id: BackendServerId): Int = total[id]?.requests ?: 0

    /** Memory that the requests of all hosts at [id] need at most. */
    fun tokens(id: BackendServerId): Int = total[id]?.tokens ?: 0

    fun add(id: BackendServerId, tokens: Int) = change(id, 1, tokens)

    fun remove(id: BackendServerId, tokens: Int) = change(id, -1, -tokens)

    /** Changes the memory of a request at [id] by [tokens]. */
    fun adjust(id: BackendServerId, tokens: Int) = change(id, 0, tokens)

    fun applyReport(peer: HostId, loads: List<SharedLoad>) {
        removeReport(peer)
        reports[peer] = Report(loads, out.now)
        loads.forEach { total(it.server).add(it.requests, it.tokens) }
    }

    /** Drops reports of peers that are silent; the requests of a host that died have ended with its connections. */
    fun tick() = reports.filterValues { out.now - it.at > RoutingTimes.LOAD_REPORT_EXPIRY }
        .keys.toList().forEach(::removeReport)

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
