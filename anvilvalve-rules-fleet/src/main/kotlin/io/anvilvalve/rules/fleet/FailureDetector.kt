package io.anvilvalve.rules.fleet

import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.log.LogRecord
import io.anvilvalve.api.log.Member
import io.anvilvalve.api.peer.PeerMessage
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Probes the members and proposes the removal of those that do not answer. */
internal class FailureDetector(
    private val self: Member,
    private val view: Membership,
    private val evidence: Evidence,
    private val times: FleetTimes,
    private val out: Outbox,
) {
    private val silentSince = HashMap<Incarnation, Duration>()
    private var known = emptyList<Member>()
    private var lastTick: Duration? = null
    private var nextRound = Duration.ZERO
    private var lastFullRound = -times.stableFullProbeInterval

    private val isSmall: Boolean get() = view.members.size <= SMALL_FLEET_SIZE

    private var rounds = 0L
    private var nextRemoval = Duration.ZERO

    /** Sends the probes that are due. After a gap between calls, silence is counted anew: this process was paused. */
    fun advance(now: Duration) {
        val paused = lastTick?.let { now - it > PAUSE_THRESHOLD } ?: true
        lastTick = now
        trackMembers()
        if (paused) silentSince.keys.forEach { silentSince[it] = now }
        if (now < nextRound) return
        nextRound = now + times.probeInterval
        val stable = evidence.logReadable && !view.hasUnconfirmed
        val interval = if (stable) times.stableFullProbeInterval else times.fullProbeInterval
        val full = isSmall || now >= lastFullRound + interval
        if (full) lastFullRound = now
        val targets = view.members.filter { it != self && (full || it.dataCentre == self.dataCentre) }
        val id = rounds++
        evidence.probeSent(id, now)
        targets.forEach { out.add(FleetEffect.Send(it, PeerMessage.Probe(id, view.offset))) }
    }

    /**
     * Returns the record that removes a silent member, or null.
     *
     * Hosts wait for their turn in an order that is fixed per suspect, so that few of them append the same removal.
     */
    fun removalRecord(now: Duration): LogRecord? {
        if (now < nextRemoval) return null
        val limit = if (evidence.hasMajority(now)) times.suspectAfter else times.suspectAfterWithoutMajority
        // isSilent computes the turn only for silent members: for all members of a fleet of 350
        // it took most of the CPU time.
        val suspect = silentSince.keys
            .filter { it != self.incarnation && isSilent(it, limit, now) }
            .maxByOrNull { silence(it, now) } ?: return null
        nextRemoval = now + times.appendRetry
        return LogRecord.HostRemoved(suspect, self.incarnation)
    }

    private fun trackMembers() {
        if (view.members == known) return
        known = view.members
        val incarnations = known.map { it.incarnation }
        silentSince.keys.retainAll(incarnations.toSet())
        incarnations.forEach { silentSince.putIfAbsent(it, checkNotNull(lastTick)) }
    }

    private fun isSilent(incarnation: Incarnation, limit: Duration, now: Duration): Boolean {
        val local = isSmall || view.member(incarnation)?.dataCentre == self.dataCentre
        val allowed = if (local) limit else maxOf(limit, times.remoteSuspectAfter)
        val silence = silence(incarnation, now)
        return silence > allowed && silence > allowed + TURN_DELAY * turn(incarnation)
    }

    private fun silence(incarnation: Incarnation, now: Duration): Duration {
        val since = silentSince.getValue(incarnation)
        return now - maxOf(since, evidence.lastAnsweredProbe(incarnation) ?: since)
    }

    private fun turn(suspect: Incarnation): Int = view.members.map { it.incarnation }.filter { it != suspect }
        .sortedBy { Rendezvous.weight(it.value, suspect.value.hashCode().toLong()) }
        .indexOf(self.incarnation)

    private companion object {
        /** Member count up to which each round probes all members. */
        const val SMALL_FLEET_SIZE = 50
        val PAUSE_THRESHOLD = 1.seconds
        val TURN_DELAY = 1.seconds
    }
}
