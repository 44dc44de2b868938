package io.anvilvalve.rules.release

import io.anvilvalve.api.RendezvousHash
import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.id.LogOffset
import io.anvilvalve.api.log.LogRecord
import kotlin.time.Duration

/** Tracks the newest lease for issuing engine orders and decides when this host may request or use it. */
internal class OrderLeases(
    private val self: Incarnation,
    private val outbox: LogOutbox,
    private val times: ReleaseTimes,
) {
    private var lease: KeptLease? = null
    private var members = emptySet<Incarnation>()
    private var current = false
    private var lastTailAt: Duration? = null
    private var freshAsOf: Duration? = null
    private var refusedAt: Duration? = null

    /** Time at which this host read its own lease from the log; null while it does not hold the newest lease. */
    var heldSince: Duration? = null
        private set

    /** Whether an earlier holder may have had orders in flight when the newest lease was granted. */
    var hadPredecessor = false
        private set

    val fencingToken: Long get() = lease?.fencing?.value ?: -1

    val newest: KeptLease? get() = lease

    fun granted(offset: LogOffset, record: LogRecord.OrderLease, now: Duration) {
        hadPredecessor = lease != null
        lease = KeptLease(record.holder, offset)
        heldSince = now.takeIf { record.holder == self }
        refusedAt = null
        outbox.confirm(LogRecord.OrderLease(self))
    }

    fun restore(newest: KeptLease?) {
        lease = newest ?: lease
        heldSince = null
    }

    fun membersChanged(members: Set<Incarnation>, current: Boolean) {
        this.members = members
        this.current = current
    }

    /**
     * Records that a log read reached the tail.
     *
     * At most one read is in flight, so this read was sent after the previous answer was processed. The evidence is
     * dated to that earlier time, because this answer may have been delayed in a paused process.
     */
    fun tailReached(now: Duration) {
        freshAsOf = lastTailAt
        lastTailAt = now
    }

    /** Records that an engine refused an order because it knows a newer lease than this host has read. */
    fun refused(now: Duration) {
        refusedAt = now
    }

    /** Requires a recent log read: peers confirm that a host is a member, but not that its lease is the newest. */
    fun mayIssue(now: Duration): Boolean = heldSince != null && refusedAt == null && isFresh(now)

    /** Whether orders of earlier holders can no longer arrive; needed for engines that do not check fencing tokens. */
    fun areEarlierOrdersSettled(now: Duration): Boolean =
        heldSince?.let { now - it >= times.freshness * CLOCK_DRIFT_FACTOR + times.orderTimeout } == true

    /**
     * Requests the lease in two cases: the holder has ended and this host is the first candidate, or an engine refused
     * an order and a later log read shows that this host's lease is still the newest.
     */
    fun tick(now: Duration) {
        if (!isFresh(now) || self !in members) return
        val holder = lease?.holder
        val refused = refusedAt?.let { refusalAt -> holder == self && (freshAsOf ?: refusalAt) > refusalAt } == true
        val vacant = holder == null || holder !in members
        if (refused || (vacant && isFirstCandidate())) outbox.add(LogRecord.OrderLease(self), now)
    }

    private fun isFresh(now: Duration): Boolean = current && freshAsOf?.let { now - it <= times.freshness } == true

    private fun isFirstCandidate(): Boolean = RendezvousHash.choose("orders", members.map { it.value }) == self.value
}
