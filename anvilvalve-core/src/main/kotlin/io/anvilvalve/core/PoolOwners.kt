package io.anvilvalve.core

import io.anvilvalve.api.PoolScope
import io.anvilvalve.api.RendezvousHash
import io.anvilvalve.api.id.DataCentreId
import io.anvilvalve.api.id.HostId
import io.anvilvalve.api.id.ModelId
import io.anvilvalve.api.log.Member
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Selects the owner of each pool among the reachable members.
 *
 * Hosts may disagree briefly; two owners of one pool cause oversubscription, but never a wrong answer.
 */
internal class PoolOwners(private val self: Member, private val scope: PoolScope = PoolScope.FLEET) {
    private val lastContactAt = HashMap<HostId, Duration>()
    private var members: List<Member> = listOf(self)
    private var refreshedAt = -REFRESH_INTERVAL
    private val owners = HashMap<Pair<ModelId, DataCentreId?>, HostId?>()

    /** Members whose last contact is within the timeout, and this host. */
    var reachable: List<Member> = listOf(self)
        private set

    /** Data centres that may serve this host's requests, nearest first; a single null means the whole fleet. */
    var groups: List<DataCentreId?> = groupsOf(reachable)
        private set

    fun membersChanged(next: List<Member>, now: Duration) {
        members = next
        val hosts = next.map { it.host }.toSet()
        lastContactAt.keys.retainAll(hosts)
        hosts.forEach { lastContactAt.putIfAbsent(it, now) }
        refreshedAt = -REFRESH_INTERVAL
    }

    fun recordContact(host: HostId, now: Duration) {
        lastContactAt[host] = now
    }

    fun hasContactSince(host: HostId, since: Duration): Boolean = (lastContactAt[host] ?: Duration.ZERO) >= since

    /** Recomputes the reachable members; returns whether owners may have changed. */
    fun refresh(now: Duration): Boolean {
        if (now - refreshedAt < REFRESH_INTERVAL) return false
        refreshedAt = now
        val next = members.filter {
            it.host == self.host || now - (lastContactAt[it.host] ?: Duration.ZERO) <= contactTimeout(it)
        }
        if (next.size == reachable.size && next.indices.all { next[it] === reachable[it] }) return false
        reachable = next
        groups = groupsOf(next)
        owners.clear()
        return true
    }

    /**
     * Owner of the pool of [model] in [group].
     *
     * When no host of the group can be reached, the result is this host for its own group and null for any other.
     */
    fun owner(model: ModelId, group: DataCentreId?): HostId? = owners.getOrPut(model to group) {
        val candidates = reachable.filter { group == null || it.dataCentre == group }.map { it.host.value }
        RendezvousHash.choose(model.value, candidates)?.let(::HostId) ?: self.host.takeIf { group == groups.first() }
    }

    private fun groupsOf(members: List<Member>): List<DataCentreId?> {
        if (scope == PoolScope.FLEET) return listOf(null)
        val near = members.filter { it.region == self.region }.map { it.dataCentre }
        return (listOf(self.dataCentre) + near + members.map { it.dataCentre }).distinct()
    }

    private fun contactTimeout(member: Member): Duration =
        if (scope == PoolScope.FLEET || member.dataCentre == self.dataCentre) CONTACT_TIMEOUT else REMOTE_TIMEOUT

    companion object {
        /** Peers are probed once a second; two missed replies make an owner unreachable. */
        val CONTACT_TIMEOUT = 2_500.milliseconds

        val REFRESH_INTERVAL = 250.milliseconds

        /** Timeout for other data centres, which large fleets probe less often. */
        val REMOTE_TIMEOUT = 30.seconds
    }
}
