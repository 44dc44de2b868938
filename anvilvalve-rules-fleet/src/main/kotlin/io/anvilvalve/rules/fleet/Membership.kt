package io.anvilvalve.rules.fleet

import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.id.LogOffset
import io.anvilvalve.api.log.LogRecord
import io.anvilvalve.api.log.Member
import kotlin.time.Duration

/** Members according to the log, and whether a majority has confirmed the records that changed them. */
internal class Membership(private val self: Incarnation, private val times: FleetTimes) {
    private class Pending(val change: MembershipChange, val appliedAt: Duration) {
        /** Time at which this record and all earlier ones were confirmed. */
        var allConfirmedAt: Duration? = null

        /** Whether the record removes no member, or the removal has taken effect. */
        var finished: Boolean = change.removed == null
    }

    private val view = LinkedHashMap<Incarnation, Pair<Member, LogOffset>>()
    private val ended = LinkedHashSet<Incarnation>()
    private val pending = ArrayDeque<Pending>()
    private val appliedOffsets = HashMap<Incarnation, LogOffset>()

    /** Offset of the last membership record. */
    var offset: LogOffset = LogOffset(-1)
        private set

    var members: List<Member> = emptyList()
        private set

    val hasUnconfirmed: Boolean get() = pending.any { it.allConfirmedAt == null }

    operator fun contains(incarnation: Incarnation): Boolean = incarnation in view

    fun member(incarnation: Incarnation): Member? = view[incarnation]?.first

    fun hasEnded(incarnation: Incarnation): Boolean = incarnation in ended

    /** Whether the removal of [incarnation] has been recorded but has not taken effect. */
    fun isBeingRemoved(incarnation: Incarnation): Boolean =
        pending.any { !it.finished && it.change.removed?.incarnation == incarnation }

    /** Applies a membership record; returns the members whose removal takes effect at once. */
    fun apply(at: LogOffset, record: LogRecord, now: Duration): List<Member> = when (record) {
        is LogRecord.HostJoined -> join(at, record.member, now)
        is LogRecord.HostLeft -> end(at, record.incarnation, immediate = true, now)
        is LogRecord.HostRemoved -> end(at, record.incarnation, immediate = false, now)
        else -> emptyList()
    }

    /** Applies an operator's statement that [incarnation] has ended; returns the members that this removes. */
    fun declareGone(at: LogOffset, incarnation: Incarnation, now: Duration): List<Member> {
        val waiting = pending.filter { !it.finished && it.change.removed?.incarnation == incarnation }
        waiting.forEach { it.finished = true }
        val gone = end(at, incarnation, immediate = true, now)
        markEnded(incarnation)
        return gone + waiting.mapNotNull { it.change.removed }
    }

    /** Records that [from] has applied the log up to [applied]. */
    fun updateApplied(from: Incarnation, applied: LogOffset) {
        if (from !in view) return
        val known = appliedOffsets[from]
        if (known == null || known < applied) appliedOffsets[from] = applied
    }

    /** Updates the confirmations; returns the members whose removal takes effect now. */
    fun advance(now: Duration): List<Member> {
        if (pending.isEmpty()) return emptyList()
        var allConfirmed = true
        val effective = mutableListOf<Member>()
        for (entry in pending) {
            val expired = now - entry.appliedAt > times.unconfirmedRemovalWait
            allConfirmed = allConfirmed && (entry.allConfirmedAt != null || expired || isConfirmed(entry.change))
            if (allConfirmed && entry.allConfirmedAt == null) entry.allConfirmedAt = now
            val confirmedAt = entry.allConfirmedAt
            val waited = confirmedAt != null && now - confirmedAt > times.removalWait
            if (!entry.finished && (expired || waited)) {
                entry.finished = true
                entry.change.removed?.let { effective += it }
            }
        }
        while (pending.firstOrNull()?.let { it.finished && it.allConfirmedAt != null } == true) pending.removeFirst()
        return effective
    }

    fun snapshot(slots: Map<Int, Incarnation>): FleetSnapshot = FleetSnapshot(
        members = view.values.toList(),
        removals = pending.filter { !it.finished }.mapNotNull { p -> p.change.removed?.let { it to p.change.offset } },
        slots = slots,
        membership = offset,
        changes = pending.map { if (it.finished) it.change.copy(removed = null) else it.change },
        ended = ended.toList(),
    )

    /** Replaces the state. Confirmations restart, because each host derives its own from the offsets of its peers. */
    fun restore(state: FleetSnapshot, now: Duration) {
        view.clear()
        state.members.forEach { view[it.first.incarnation] = it }
        ended.clear()
        ended.addAll(state.ended)
        pending.clear()
        val known = state.changes.mapNotNull { it.removed?.incarnation }.toSet()
        val unlisted = state.removals.filter { it.first.incarnation !in known }
            .map { (member, at) -> MembershipChange(at, member, view.keys.toSet()) }
        (state.changes + unlisted).sortedBy { it.offset }.forEach { pending += Pending(it, now) }
        offset = state.membership
        members = view.values.map { it.first }
    }

    private fun join(at: LogOffset, member: Member, now: Duration): List<Member> {
        if (member.incarnation in view || member.incarnation in ended) return emptyList()
        val replaced = view.values.firstOrNull { it.first.address == member.address }?.first
        // Only the new process knows that its predecessor at the address has ended; other hosts wait as for a removal.
        // Otherwise a late join record of an older process would free the slots of the running one.
        val immediate = member.incarnation == self
        addPending(at, replaced, immediate, now)
        replaced?.let(::remove)
        view[member.incarnation] = member to at
        members = view.values.map { it.first }
        return if (immediate) listOfNotNull(replaced) else emptyList()
    }

    private fun end(at: LogOffset, incarnation: Incarnation, immediate: Boolean, now: Duration): List<Member> {
        val member = view[incarnation]?.first ?: return emptyList()
        addPending(at, member, immediate, now)
        remove(member)
        return if (immediate) listOf(member) else emptyList()
    }

    private fun addPending(at: LogOffset, removed: Member?, immediate: Boolean, now: Duration) {
        val voters = view.keys - setOfNotNull(removed?.incarnation)
        pending += Pending(MembershipChange(at, removed.takeUnless { immediate }, voters), now)
        offset = at
    }

    private fun remove(member: Member) {
        view.remove(member.incarnation)
        appliedOffsets.remove(member.incarnation)
        markEnded(member.incarnation)
        members = view.values.map { it.first }
    }

    private fun markEnded(incarnation: Incarnation) {
        ended += incarnation
        if (ended.size > MAX_ENDED) ended.remove(ended.first())
    }

    private fun isConfirmed(change: MembershipChange): Boolean {
        val known = change.voters.count { voter -> appliedOffsets[voter]?.let { it >= change.offset } == true }
        return known * 2 > change.voters.size || change.voters.isEmpty()
    }

    private companion object {
        /** Covers the restarts of one day in a fleet of the target size. */
        const val MAX_ENDED = 4_096
    }
}
