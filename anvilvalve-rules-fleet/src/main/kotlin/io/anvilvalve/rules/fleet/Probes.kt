package io.anvilvalve.rules.fleet

import io.anvilvalve.api.log.LogRecord
import io.anvilvalve.api.log.Member
import io.anvilvalve.api.peer.PeerMessage
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Probes the members and notices those that do not answer. */
internal class Probes(
    private val self: Member,
    private val view: Membership,
    private val evidence: Evidence,
    private val times: FleetTimes,
    private val out: Outbox,
) {
    private val silentSince = HashMap<Member, Duration>()
    private var lastTick: Duration? = null
    private var nextRound = Duration.ZERO
    private var nextWideRound = Duration.ZERO
    private var rounds = 0L
    private var nextRemoval = Duration.ZERO

    /** Sends the probes that are due; a gap in the calls means that this process was paused and proves no silence. */
    fun advance(now: Duration) {
        val paused = lastTick?.let { now - it > PAUSE } ?: true
        lastTick = now
        silentSince.keys.retainAll(view.members.toSet())
        view.members.forEach { member ->
            val heard = evidence.lastHeard(member.incarnation)
            val known = silentSince[member]
            silentSince[member] = if (known == null || paused) now else maxOf(known, heard ?: known)
        }
        if (now < nextRound) return
        nextRound = now + times.probeInterval
        val wide = view.members.size <= SMALL_FLEET || now >= nextWideRound
        if (wide) nextWideRound = now + times.wideProbeInterval
        val targets = view.members.filter { it != self && (wide || it.dataCentre == self.dataCentre) }
        val id = rounds++
        evidence.probeSent(id, now)
        targets.forEach { out.add(FleetEffect.Send(it, PeerMessage.Probe(id, view.offset))) }
    }

    /** Returns the record that removes a silent member; hosts wait in turn so that few append the same. */
    fun removal(now: Duration): LogRecord? {
        if (now < nextRemoval) return null
        val limit = if (evidence.hearsMajority(now)) times.suspectAfter else times.suspectAloneAfter
        val silent = silentSince.entries.filter { it.key != self && now - it.value > limit + TURN * turn(it.key) }
        val suspect = silent.minByOrNull { it.value }?.key ?: return null
        nextRemoval = now + times.appendRetry
        return LogRecord.HostRemoved(suspect.incarnation, self.incarnation)
    }

    private fun turn(suspect: Member): Int = view.members.filter { it != suspect }
        .sortedBy { Rendezvous.weight(it.incarnation.value, suspect.incarnation.value.hashCode().toLong()) }
        .indexOf(self)

    private companion object {
        /** Larger fleets are probed whole only at the wide interval. */
        const val SMALL_FLEET = 50
        val PAUSE = 1.seconds
        val TURN = 1.seconds
    }
}
