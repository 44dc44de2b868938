package io.anvilvalve.core

import io.anvilvalve.api.RendezvousHash
import io.anvilvalve.api.log.Member

/** Choice of the host that keeps a copy of another host's in-flight table. */
internal object BackupSelector {
    /** Prefers another data centre of the region, then the region, then any member: one fault must not hit both hosts. */
    fun select(self: Member, members: List<Member>): Member? {
        val others = members.filter { it.host != self.host }
        val region = others.filter { it.region == self.region }
        val candidates = listOf(region.filter { it.dataCentre != self.dataCentre }, region, others)
            .firstOrNull { it.isNotEmpty() } ?: return null
        val chosen = RendezvousHash.choose("backup-${self.host}", candidates.map { it.host.value })
        return candidates.firstOrNull { it.host.value == chosen }
    }
}
