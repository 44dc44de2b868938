package io.anvilvalve.core

import io.anvilvalve.api.RendezvousHash
import io.anvilvalve.api.log.Member

/** Selects the host that stores a replica of another host's in-flight table. */
internal object BackupSelector {
    /**
     * Prefers a host in another data centre of the region, then any host of the region, then any member.
     *
     * The preference lowers the risk that a single fault affects both the host and its replica.
     */
    fun select(self: Member, members: List<Member>): Member? {
        val others = members.filter { it.host != self.host }
        val region = others.filter { it.region == self.region }
        val candidates = listOf(region.filter { it.dataCentre != self.dataCentre }, region, others)
            .firstOrNull { it.isNotEmpty() } ?: return null
        val chosen = RendezvousHash.choose("backup-${self.host}", candidates.map { it.host.value })
        return candidates.firstOrNull { it.host.value == chosen }
    }
}
