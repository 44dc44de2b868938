package io.anvilvalve.core

import io.anvilvalve.api.Reducer
import io.anvilvalve.api.id.HostId
import io.anvilvalve.api.peer.PeerMessage
import io.anvilvalve.api.peer.PlacementOutcome
import io.anvilvalve.api.release.BackendServer
import io.anvilvalve.api.release.Release
import io.anvilvalve.api.release.Role
import io.anvilvalve.api.result.LogEvent
import io.anvilvalve.rules.scheduling.SchedulingEffect
import io.anvilvalve.rules.scheduling.SchedulingEvent
import kotlin.time.Duration.Companion.microseconds

/** Pools that this host owns: schedules the requests of all hosts and polls the pools' engines. */
internal class OwnedPools(
    private val self: HostId,
    private val out: Outbox,
    private val scheduler: Reducer<SchedulingEvent, SchedulingEffect>,
    private val owners: PoolOwners,
    private val placedWork: PlacedWork,
    private val reply: (HostId, PeerMessage.Placement) -> Unit,
) {
    private var watched: List<BackendServer> = emptyList()

    fun schedule(event: SchedulingEvent) = scheduler.reduce(event, out.now).forEach(::onEffect)

    /** Handles a message to the pool owner from the origin of a request, which may be this host. */
    fun handle(message: PeerMessage) {
        when (message) {
            is PeerMessage.Submit -> schedule(SchedulingEvent.Submitted(message.item, message.attempt))
            is PeerMessage.WorkProgress -> progressReceived(message)
            is PeerMessage.WorkRunning -> runningAnnounced(message)
            else -> Unit
        }
    }

    /** Polls the engines of the owned pools of [release] from now on. */
    fun watch(release: Release, servers: Collection<BackendServer>) {
        val group = owners.groups.first()
        val owned = release.models.keys.filter { owners.owner(it, group) == self }.toSet()
        val next = servers.filter { server -> server.role != Role.SERVICE && server.models.any { it in owned } }
        if (next == watched) return
        watched = next
        out.emit(HostEffect.WatchServers(next))
    }

    private fun progressReceived(message: PeerMessage.WorkProgress) {
        placedWork.progressed(message.id, message.attempt, message.phase)
        val spent = message.micros.microseconds
        schedule(SchedulingEvent.Progressed(message.id, message.attempt, message.phase, message.tokens, spent))
    }

    private fun runningAnnounced(message: PeerMessage.WorkRunning) {
        recordPlacement(message.item.origin, PeerMessage.Placement(message.item.id, message.attempt, message.placed))
        schedule(SchedulingEvent.RunningAnnounced(message.item, message.attempt, message.placed))
    }

    private fun onEffect(effect: SchedulingEffect) {
        when (effect) {
            is SchedulingEffect.Reply -> {
                val placement = PeerMessage.Placement(effect.id, effect.attempt, effect.outcome)
                recordPlacement(effect.origin, placement)
                reply(effect.origin, placement)
            }

            is SchedulingEffect.HealthChanged -> {
                val event = if (effect.healthy) LogEvent.BACKEND_HEALTHY else LogEvent.BACKEND_UNHEALTHY
                out.log(event, "server" to effect.server)
            }
        }
    }

    private fun recordPlacement(origin: HostId, placement: PeerMessage.Placement) {
        val outcome = placement.outcome
        if (origin != self && outcome is PlacementOutcome.Placed) {
            placedWork.add(origin, placement.id, placement.attempt, outcome)
        }
    }
}
