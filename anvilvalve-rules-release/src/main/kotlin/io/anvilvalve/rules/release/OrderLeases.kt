package io.anvilvalve.rules.release

import io.anvilvalve.api.RendezvousHash
import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.id.LogOffset
import io.anvilvalve.api.log.LogRecord
import kotlin.time.Duration

/** The newest lease to issue engine orders, and whether this host should ask for one or may use the one it has. */
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

    /** Time at which this host read its lease back; null when another host or none has the newest lease. */
    var heldSince: Duration? = null
        private set

    /** Whether another holder may have left orders under way when this host got the lease. */
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
     * A log read reached the tail.
     *
     * At most one read is under way, so this read was sent after the answer to the one before. The time of that answer
     * is taken as the age of the evidence, because an answer may have waited in a paused process.
     */
    fun tailReached(now: Duration) {
        freshAsOf = lastTailAt
        lastTailAt = now
    }

    /** An engine knows a newer lease than the log has shown. */
    fun refused(now: Duration) {
        refusedAt = now
    }

    /** Orders wait for the log: peers can tell that a host is a member, but not that its lease is the newest. */
    fun mayIssue(now: Duration): Boolean = heldSince != null && refusedAt == null && isFresh(now)

    /** Whether all orders of an earlier holder have arrived, at an engine that does not check fencing numbers. */
    fun areEarlierOrdersSettled(now: Duration): Boolean =
        heldSince?.let { now - it >= times.freshness * CLOCK_DRIFT_FACTOR + times.orderTimeout } == true

    /** Asks for the lease when its holder is gone and this host is first, or when a refused lease is still the newest. */
    fun tick(now: Duration) {
        if (!isFresh(now) || self !in members) return
        val holder = lease?.holder
        val refused = refusedAt?.let { asked -> holder == self && (freshAsOf ?: asked) > asked } == true
        val vacant = holder == null || holder !in members
        if (refused || (vacant && isFirstCandidate())) outbox.add(LogRecord.OrderLease(self), now)
    }

    private fun isFresh(now: Duration): Boolean = current && freshAsOf?.let { now - it <= times.freshness } == true

    private fun isFirstCandidate(): Boolean = RendezvousHash.choose("orders", members.map { it.value }) == self.value
}
