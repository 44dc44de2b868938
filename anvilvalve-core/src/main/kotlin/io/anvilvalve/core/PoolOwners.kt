package io.anvilvalve.core

import io.anvilvalve.api.RendezvousHash
import io.anvilvalve.api.id.HostId
import io.anvilvalve.api.id.ModelId
import io.anvilvalve.api.log.Member
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Chooses the owner of each pool among the members that have been heard from recently.
 *
 * Hosts may disagree for a moment; two owners of a pool cost oversubscription, never a wrong answer.
 */
internal class PoolOwners(private val self: Member) {
    private val heardAt = HashMap<HostId, Duration>()
    private var members: List<Member> = listOf(self)

    fun membersChanged(next: List<Member>, now: Duration) {
        members = next
        val hosts = next.map { it.host }.toSet()
        heardAt.keys.retainAll(hosts)
        hosts.forEach { heardAt.putIfAbsent(it, now) }
    }

    fun heard(host: HostId, now: Duration) {
        heardAt[host] = now
    }

    fun heardSince(host: HostId, since: Duration): Boolean = (heardAt[host] ?: Duration.ZERO) >= since

    fun reachable(now: Duration): List<HostId> = members.map { it.host }
        .filter { it == self.host || now - (heardAt[it] ?: Duration.ZERO) <= SILENCE_LIMIT }

    fun owner(model: ModelId, now: Duration): HostId =
        RendezvousHash.choose(model.value, reachable(now).map { it.value })?.let(::HostId) ?: self.host

    companion object {
        /** Peers are probed once a second; two missed replies make an owner unreachable. */
        val SILENCE_LIMIT = 2_500.milliseconds
    }
}
