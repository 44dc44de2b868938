package io.anvilvalve.core

import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.id.DataCentreId
import io.anvilvalve.api.port.LiveHost
import io.anvilvalve.api.release.BackendServer
import io.anvilvalve.api.release.Release

/** Backend servers of the applied release, marked as leaving if the release or the live list marks them so. */
internal class Servers(private val ownGroup: DataCentreId? = null) {
    private var release = Release()
    private var leaving: Set<String> = emptySet()
    private var known: Map<BackendServerId, BackendServer> = emptyMap()

    /** Servers of this host's pools: all, or those of its data centre. */
    var owned: List<BackendServer> = emptyList()
        private set

    operator fun get(id: BackendServerId): BackendServer? = known[id]

    fun releaseChanged(next: Release) {
        release = next
        rebuild()
    }

    /** Applies the leaving marks of the live list; returns whether any of them changed. */
    fun liveListRead(hosts: List<LiveHost>): Boolean {
        val next = hosts.filter { it.leaving }.map { it.id.value }.toSet()
        if (next == leaving) return false
        leaving = next
        rebuild()
        return true
    }

    private fun rebuild() {
        known = release.servers.mapValues { (id, server) ->
            if (id.value in leaving) server.copy(leaving = true) else server
        }
        owned = known.values.filter { ownGroup == null || it.dataCentre == ownGroup }
    }
}
