package io.anvilvalve.rules.fleet

import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.id.LogOffset
import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.release.Organisation
import kotlin.time.Duration

/** Observes the hosts of a [FleetWorld] and collects all violations of the invariants. */
internal class FleetChecker {
    private class Request(
        val organisation: OrganisationId,
        val tokens: Long,
        val host: SimulatedHost,
        val deadline: Duration,
    ) {
        var answers = 0
        var admittedAt: Duration? = null
        var used = tokens
    }

    private val requests = LinkedHashMap<RequestId, Request>()
    private val pending = LinkedHashSet<RequestId>()
    private val offsets = HashMap<Incarnation, LogOffset>()
    private val states = HashMap<LogOffset, Pair<Set<Incarnation>, Map<Int, Incarnation>>>()

    val violations = mutableListOf<String>()
    val admittedCount: Int get() = requests.values.count { it.admittedAt != null }
    val refusedCount: Int get() = requests.values.count { it.answers > 0 && it.admittedAt == null }

    fun submitted(id: RequestId, organisation: OrganisationId, tokens: Long, host: SimulatedHost, deadline: Duration) {
        requests[id] = Request(organisation, tokens, host, deadline)
        pending += id
    }

    fun admitted(id: RequestId, at: Duration): Long {
        answer(id)
        return requests.getValue(id).also { it.admittedAt = at }.tokens
    }

    fun refused(id: RequestId) = answer(id)

    fun settled(id: RequestId, used: Long) {
        requests.getValue(id).used = used
    }

    fun afterEvent(host: SimulatedHost) {
        val name = host.member.incarnation
        val applied = host.applied()
        val before = offsets.put(name, applied)
        if (before != null && applied < before) violations += "offset of $name goes back from $before to $applied"
        if (before != applied) compareState(host, applied)
    }

    /** Checks that no slot may be refilled by two processes at the same time, paused ones included. */
    fun checkRefills(world: FleetWorld) {
        val owners = arrayOfNulls<Incarnation>(FleetWorld.SLOTS)
        for (host in world.hosts) {
            if (!host.alive || host.stopped) continue
            for (slot in host.rules.refilledSlots(host.staleNow ?: host.clock(world.now))) {
                val name = host.member.incarnation
                owners[slot]?.let { violations += "${world.now} slot $slot is refilled by $it and $name" }
                owners[slot] = name
            }
        }
    }

    fun checkLimits(organisations: List<Organisation>) {
        organisations.forEach { organisation ->
            val bucket = ReferenceBucket(organisation)
            requests.entries.filter { it.value.organisation == organisation.id && it.value.admittedAt != null }
                .sortedBy { it.value.admittedAt }
                .forEach { (id, request) ->
                    val at = checkNotNull(request.admittedAt)
                    bucket.take(request.used, at)?.let { violations += "$at $id is $it tokens over the limit" }
                }
        }
    }

    /** Checks that running hosts have answered all requests whose deadline has passed. */
    fun checkDeadlines(now: Duration) {
        val late = pending.filter { requests.getValue(it).let { r -> r.deadline < now && now >= r.host.pausedUntil } }
        late.filter { requests.getValue(it).host.run { alive && !stopped } }.forEach {
            violations +=
                "$it is not answered"
        }
        pending.removeAll(late.toSet())
    }

    private fun answer(id: RequestId) {
        pending -= id
        if (requests.getValue(id).answers++ > 0) violations += "$id is answered twice"
    }

    private fun compareState(host: SimulatedHost, applied: LogOffset) {
        val state = host.rules.snapshot().let { s -> s.members.map { it.first.incarnation }.toSet() to s.slots }
        val known = states.getOrPut(applied) { state }
        if (known != state) violations += "${host.member.incarnation} differs at offset $applied: $state, not $known"
    }
}
