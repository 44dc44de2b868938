package io.anvilvalve.rules.fleet

import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.id.LogOffset
import io.anvilvalve.api.log.LogRecord
import io.anvilvalve.api.log.Member
import kotlin.time.Duration

/** View of the members in log order, and the confirmation of the records that changed it. */
internal class Membership(private val self: Incarnation, private val times: FleetTimes) {
    private class Pending(val change: MembershipChange, val appliedAt: Duration) {
        var chainConfirmedAt: Duration? = null
        var finished: Boolean = change.removed == null
    }

    private val view = LinkedHashMap<Incarnation, Pair<Member, LogOffset>>()
    private val ended = LinkedHashSet<Incarnation>()
    private val pending = ArrayDeque<Pending>()
    private val reported = HashMap<Incarnation, LogOffset>()

    /** Offset of the last membership record. */
    var offset: LogOffset = LogOffset(-1)
        private set

    var members: List<Member> = emptyList()
        private set

    val unconfirmed: Boolean get() = pending.any { it.chainConfirmedAt == null }

    operator fun contains(incarnation: Incarnation): Boolean = incarnation in view

    fun member(incarnation: Incarnation): Member? = view[incarnation]?.first

    fun hasEnded(incarnation: Incarnation): Boolean = incarnation in ended

    /** Whether the removal of [incarnation] has been recorded but has not taken effect. */
    fun isBeingRemoved(incarnation: Incarnation): Boolean =
        pending.any { !it.finished && it.change.removed?.incarnation == incarnation }

    /** Applies a membership record; returns the members that are gone at once. */
    fun apply(at: LogOffset, record: LogRecord, now: Duration): List<Member> = when (record) {
        is LogRecord.HostJoined -> join(at, record.member, now)
        is LogRecord.HostLeft -> end(at, record.incarnation, atOnce = true, now)
        is LogRecord.HostRemoved -> end(at, record.incarnation, atOnce = false, now)
        else -> emptyList()
    }

    /** Applies an operator's statement that [incarnation] has ended; returns the members that are gone by it. */
    fun declareGone(at: LogOffset, incarnation: Incarnation, now: Duration): List<Member> {
        val waiting = pending.filter { !it.finished && it.change.removed?.incarnation == incarnation }
        waiting.forEach { it.finished = true }
        val gone = end(at, incarnation, atOnce = true, now)
        markEnded(incarnation)
        return gone + waiting.mapNotNull { it.change.removed }
    }

    /** Notes that [from] has applied the log up to [applied]. */
    fun report(from: Incarnation, applied: LogOffset) {
        if (from !in view) return
        val known = reported[from]
        if (known == null || known < applied) reported[from] = applied
    }

    /** Advances confirmations; returns the members whose removal takes effect now. */
    fun advance(now: Duration): List<Member> {
        if (pending.isEmpty()) return emptyList()
        var chain = true
        val effective = mutableListOf<Member>()
        for (entry in pending) {
            val expired = now - entry.appliedAt > times.unconfirmedRemovalWait
            chain = chain && (entry.chainConfirmedAt != null || expired || isConfirmed(entry.change))
            if (chain && entry.chainConfirmedAt == null) entry.chainConfirmedAt = now
            val confirmedAt = entry.chainConfirmedAt
            val waited = confirmedAt != null && now - confirmedAt > times.removalWait
            if (!entry.finished && (expired || waited)) {
                entry.finished = true
                entry.change.removed?.let { effective += it }
            }
        }
        while (pending.firstOrNull()?.let { it.finished && it.chainConfirmedAt != null } == true) pending.removeFirst()
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

    /** Replaces the state; confirmations start again because they are this host's own observations. */
    fun restore(state: FleetSnapshot, now: Duration) {
        view.clear()
        state.members.forEach { view[it.first.incarnation] = it }
        ended.clear()
        ended.addAll(state.ended)
        pending.clear()
        val known = state.changes.mapNotNull { it.removed?.incarnation }.toSet()
        val bare = state.removals.filter { it.first.incarnation !in known }
            .map { (member, at) -> MembershipChange(at, member, view.keys.toSet()) }
        (state.changes + bare).sortedBy { it.offset }.forEach { pending += Pending(it, now) }
        offset = state.membership
        members = view.values.map { it.first }
    }

    private fun join(at: LogOffset, member: Member, now: Duration): List<Member> {
        if (member.incarnation in view || member.incarnation in ended) return emptyList()
        val replaced = view.values.firstOrNull { it.first.address == member.address }?.first
        // Only the new process itself knows that its predecessor is dead: a late join record of an older process
        // at the same address would otherwise free the slots of the running one. Other hosts wait as for a removal.
        val atOnce = member.incarnation == self
        record(at, replaced, atOnce, now)
        replaced?.let(::remove)
        view[member.incarnation] = member to at
        members = view.values.map { it.first }
        return if (atOnce) listOfNotNull(replaced) else emptyList()
    }

    private fun end(at: LogOffset, incarnation: Incarnation, atOnce: Boolean, now: Duration): List<Member> {
        val member = view[incarnation]?.first ?: return emptyList()
        record(at, member, atOnce, now)
        remove(member)
        return if (atOnce) listOf(member) else emptyList()
    }

    private fun record(at: LogOffset, removed: Member?, atOnce: Boolean, now: Duration) {
        val voters = view.keys - setOfNotNull(removed?.incarnation)
        pending += Pending(MembershipChange(at, removed.takeUnless { atOnce }, voters), now)
        offset = at
    }

    private fun remove(member: Member) {
        view.remove(member.incarnation)
        reported.remove(member.incarnation)
        markEnded(member.incarnation)
        members = view.values.map { it.first }
    }

    private fun markEnded(incarnation: Incarnation) {
        ended += incarnation
        if (ended.size > ENDED_KEPT) ended.remove(ended.first())
    }

    private fun isConfirmed(change: MembershipChange): Boolean {
        val known = change.voters.count { voter -> reported[voter]?.let { it >= change.offset } == true }
        return known * 2 > change.voters.size || change.voters.isEmpty()
    }

    private companion object {
        /** A day of restarts at target size. */
        const val ENDED_KEPT = 4_096
    }
}
