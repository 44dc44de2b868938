package io.anvilvalve.host

import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.port.BackendServerClient
import io.anvilvalve.api.release.BackendServer
import io.anvilvalve.api.release.Role
import io.anvilvalve.core.HostEvent
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlin.time.Duration

/** Polls load and cache events of the watched backend servers every [interval]. Called by the loop thread only. */
internal class ServerWatcher(
    private val scope: CoroutineScope,
    private val backends: BackendServerClient,
    private val interval: Duration,
    private val post: (HostEvent) -> Unit,
) {
    private val polls = HashMap<BackendServerId, Pair<BackendServer, Job>>()

    /** Replaces the set of polled backend servers by [servers]. */
    fun watch(servers: List<BackendServer>) {
        val wanted = servers.associateBy { it.id }
        polls.entries.removeIf { (id, poll) ->
            val removed = wanted[id] != poll.first
            if (removed) poll.second.cancel()
            removed
        }
        wanted.filterKeys { it !in polls }.forEach { (id, server) ->
            polls[id] = server to scope.launch { poll(server) }
        }
    }

    private suspend fun CoroutineScope.poll(server: BackendServer) {
        var afterSequence = 0L
        while (isActive) {
            post(HostEvent.LoadRead(server.id, backends.load(server).getOrNull()))
            if (server.role != Role.SERVICE) afterSequence = pollCache(server, afterSequence)
            delay(interval)
        }
    }

    private suspend fun pollCache(server: BackendServer, afterSequence: Long): Long {
        val events = backends.cacheEvents(server, afterSequence).getOrNull().orEmpty()
        if (events.isNotEmpty()) post(HostEvent.CacheRead(server.id, events))
        return events.maxOfOrNull { it.sequence } ?: afterSequence
    }
}
