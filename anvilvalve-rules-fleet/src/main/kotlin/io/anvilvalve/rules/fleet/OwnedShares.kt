package io.anvilvalve.rules.fleet

import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.peer.PeerMessage
import io.anvilvalve.api.release.Organisation
import kotlin.time.Duration

/** Shares on the slots that this host refills. */
internal class OwnedShares(private val slots: Int, private val maxShares: Int, private val times: FleetTimes) {
    private val layouts = HashMap<OrganisationId, ShareLayout>()
    private val sharesBySlot = HashMap<Int, MutableList<ShareKey>>()
    private val owned = HashMap<ShareKey, OwnedShare>()
    private val droppedAt = HashMap<OrganisationId, Duration>()
    private val takeoverWait = times.withDrift(times.grantTtl)
    private var ownedSlots: Set<Int> = emptySet()

    fun layout(organisation: OrganisationId): ShareLayout? = layouts[organisation]

    operator fun get(key: ShareKey): OwnedShare? = owned[key]

    /** Refills the shares of [layout] that this host owns up to [clock] and returns them. */
    fun refilled(layout: ShareLayout, clock: Duration, now: Duration): List<Pair<ShareKey, OwnedShare>> =
        (0 until layout.count).mapNotNull { index ->
            val key = ShareKey(layout.organisation.id, index)
            owned[key]?.let { share ->
                share.advance(clock, now)
                key to share
            }
        }

    /**
     * Releases expired holds.
     *
     * A share refills only capacity that is not held. If a hold were released only at the next use, the share would
     * lose the refill of the whole idle time.
     */
    fun advanceHolds(clock: Duration, now: Duration) =
        owned.values.filter { it.hasHolds }.forEach { it.advance(clock, now) }

    /** Adds the shares of gained slots with empty buckets and removes those of lost slots. */
    fun slotsChanged(next: Set<Int>, clock: Duration, now: Duration) {
        if (next == ownedSlots) return
        (ownedSlots - next).forEach { slot -> sharesBySlot[slot].orEmpty().forEach { owned.remove(it) } }
        (next - ownedSlots).forEach { slot ->
            sharesBySlot[slot].orEmpty().forEach { key ->
                layouts[key.organisation]?.let { owned[key] = OwnedShare(it.limit, clock, now + takeoverWait, times) }
            }
        }
        ownedSlots = next
    }

    fun limitsChanged(organisations: Collection<Organisation>, clock: Duration, now: Duration) {
        val next = organisations.associateBy { it.id }
        (layouts.keys - next.keys).toList().forEach { drop(it, now) }
        next.values.filter { layouts[it.id]?.organisation != it }.forEach { change(it, clock, now) }
    }

    /** Grants tokens for the request of a peer; null when this host does not refill the share. */
    fun grant(request: PeerMessage.TokenRequest, clock: Duration, now: Duration): PeerMessage.TokenGrant? {
        val share = owned[ShareKey(request.organisation, request.share)] ?: return null
        share.advance(clock, now)
        return share.grant(request, now)
    }

    fun receiveReturn(message: PeerMessage.TokenReturn, clock: Duration, now: Duration) {
        val share = owned[ShareKey(message.organisation, message.share)] ?: return
        share.advance(clock, now)
        share.receiveReturn(message)
    }

    private fun change(organisation: Organisation, clock: Duration, now: Duration) {
        val before = layouts[organisation.id]
        val after = ShareLayout(organisation, slots, maxShares)
        layouts[organisation.id] = after
        before?.slots?.forEachIndexed { index, slot ->
            if (index >= after.count) {
                sharesBySlot[slot]?.remove(ShareKey(organisation.id, index))
                owned.remove(ShareKey(organisation.id, index))
            }
        }
        // Hosts that have not applied the change yet may refill by the old limits for up to the freshness time.
        val known = before != null || now < (droppedAt[organisation.id] ?: Duration.ZERO) + times.removalWait
        val emptyUntil = now + takeoverWait + if (known) times.removalWait else Duration.ZERO
        after.slots.forEachIndexed { index, slot ->
            val key = ShareKey(organisation.id, index)
            val shares = sharesBySlot.getOrPut(slot) { mutableListOf() }
            if (key !in shares) shares += key
            val share = owned[key]
            if (share != null) {
                share.advance(clock, now)
                share.changeLimit(after.limit, now)
            } else if (slot in ownedSlots) {
                owned[key] = OwnedShare(after.limit, clock, emptyUntil, times)
            }
        }
    }

    private fun drop(organisation: OrganisationId, now: Duration) {
        droppedAt[organisation] = now
        droppedAt.values.removeIf { now - it > times.removalWait }
        val layout = layouts.remove(organisation) ?: return
        layout.slots.forEachIndexed { index, slot ->
            val key = ShareKey(organisation, index)
            sharesBySlot[slot]?.remove(key)
            owned.remove(key)
        }
    }
}
