package io.anvilvalve.rules.routing

import io.anvilvalve.api.routing.Backend
import io.anvilvalve.api.routing.ServerStart
import io.anvilvalve.api.routing.ServiceSpec

/**
 * Number of idle connections that this host may keep to each backend server.
 *
 * The hosts together keep at most [SHARE] of the connections that a server accepts, each one the same number. A server
 * that leaves, is not registered or has started again is not named, so the connections to it are closed.
 */
internal class IdleConnections(
    private val out: Outbox,
    private val directory: Directory,
    private val leaving: LeavingServers,
    private val hostCount: () -> Int?,
    private val service: (Backend) -> ServiceSpec?,
) {
    private var limits: Map<ServerStart, Int> = emptyMap()
    private var changedAtHosts: Int? = null
    private var isDue = false

    /** Notes that servers, announcements or services have changed. */
    fun changed() {
        isDue = true
    }

    /** Emits the limits if they have changed. */
    fun update() {
        val hosts = hostCount()
        if (!isDue && hosts == changedAtHosts) return
        isDue = false
        changedAtHosts = hosts
        val next = if (hosts == null) emptyMap() else limits(hosts)
        if (next == limits) return
        limits = next
        out.emit(RoutingEffect.KeepConnections(next))
    }

    private fun limits(hosts: Int): Map<ServerStart, Int> = directory.all
        .filter { !it.leaving && leaving.allows(it, need = null) }
        .associate { it.start to limit(it, hosts) }
        .filterValues { it > 0 }

    private fun limit(server: Backend, hosts: Int): Int {
        val accepted = service(server)?.maxConnections ?: return 0
        return minOf((accepted * SHARE / hosts).toInt(), MAX_PER_SERVER)
    }

    private companion object {
        /** The other half is left for calls that are under way. */
        const val SHARE = 0.5

        /**
         * Also bounds the total if hosts that are cut off take the fleet for smaller than it is: 79 hosts keep at most
         * 316 of the 530 connections of a server, and 58 hosts 232 of 410.
         */
        const val MAX_PER_SERVER = 4
    }
}
