package io.anvilvalve.rules.fleet

import io.anvilvalve.api.Reducer
import io.anvilvalve.api.id.LogOffset
import io.anvilvalve.api.log.LogRecord
import io.anvilvalve.api.log.Member
import io.anvilvalve.api.peer.PeerMessage
import io.anvilvalve.api.result.ResultCode
import kotlin.random.Random
import kotlin.time.Duration

/**
 * State machine for the membership, freshness evidence and token limits of one host.
 *
 * @param slots number of limit slots, the same on all hosts.
 * @param maxShares upper bound on the shares of an organisation, the same on all hosts.
 */
class FleetRules(
    private val self: Member,
    seed: Long,
    slots: Int = 64,
    maxShares: Int = 8,
    private val times: FleetTimes = FleetTimes(),
) : Reducer<FleetEvent, FleetEffect> {
    private val random = Random(seed)
    private val out = Outbox()
    private val view = Membership(self.incarnation, times)
    private val evidence = Evidence(self.incarnation, times, view)
    private val table = SlotTable(slots)
    private val assigner = SlotAssigner(self, table, view, times, random)
    private val shares = OwnedShares(slots, maxShares, times)
    private val admissions = Admissions(self.incarnation, shares, table, view, times, out)
    private val detector = FailureDetector(self, view, evidence, times, out)

    internal var applied = LogOffset(-1)
        private set
    private var lastEvent = Duration.ZERO
    private var currentClock = Duration.ZERO
    private var current = false
    private var draining = false
    private var ended = false
    private var hasAppendedMembership = false
    private var reportedMembers = emptyList<Member>()
    private var nextMembershipAppend = Duration.ZERO

    /** Handles [event] at [now]; checks that the evidence is still valid at [now] before it admits or grants. */
    override fun reduce(event: FleetEvent, now: Duration): List<FleetEffect> {
        advanceClock(now)
        updateCurrent(now)
        handle(event, now)
        updateCurrent(now)
        reportMembers()
        return out.drain()
    }

    /** Membership and slots as of the last applied record. */
    fun snapshot(): FleetSnapshot = view.snapshot(table.snapshot())

    /** Slots that this host may refill at [now]. */
    internal fun refilledSlots(now: Duration): Set<Int> = if (isCurrent(now)) assigner.refilled else emptySet()

    private fun handle(event: FleetEvent, now: Duration) = when (event) {
        is FleetEvent.TailReached -> evidence.tailReached(event.sentAt)
        is FleetEvent.LogFailed -> evidence.logFailed()
        is FleetEvent.RecordApplied -> apply(event, now)
        is FleetEvent.Restored -> restore(event, now)
        is FleetEvent.LimitsChanged -> shares.limitsChanged(event.organisations, currentClock, now)
        is FleetEvent.DeclaredGone -> declareGone(event, now)
        is FleetEvent.PeerReceived -> receive(event, now)
        is FleetEvent.Admit -> admit(event, now)
        is FleetEvent.Settle -> admissions.settle(event.id, event.used, now)
        is FleetEvent.Drain -> drain(now)
        is FleetEvent.Tick -> tick(now)
    }

    /** Advances [currentClock] by the time since the last event, but not past the end of the evidence known so far. */
    private fun advanceClock(now: Duration) {
        val until = evidence.validUntil(now)
        if (until != null) currentClock += (minOf(now, until) - lastEvent).coerceAtLeast(Duration.ZERO)
        lastEvent = now
    }

    private fun isCurrent(now: Duration): Boolean = !ended && evidence.validUntil(now)?.let { it >= now } == true

    private fun updateCurrent(now: Duration) {
        val next = isCurrent(now)
        if (next == current) return
        current = next
        out.add(FleetEffect.CurrentChanged(next))
        if (!next) admissions.refuseAll(ResultCode.NOT_CURRENT)
    }

    private fun apply(event: FleetEvent.RecordApplied, now: Duration) {
        if (event.offset <= applied) return
        applied = event.offset
        view.apply(event.offset, event.record, now).forEach(::removalEffective)
        view.updateApplied(self.incarnation, applied)
        when (val record = event.record) {
            is LogRecord.SlotsAssigned -> table.assign(record, view)
            is LogRecord.SlotsReleased -> table.release(record)
            is LogRecord.HostLeft -> applyHostLeft(record)
            else -> Unit
        }
        slotsChanged(now)
        checkEnded()
    }

    private fun applyHostLeft(record: LogRecord.HostLeft) {
        table.free(record.incarnation)
        if (record.incarnation == self.incarnation && !ended) {
            ended = true
            out.add(FleetEffect.Left(self.incarnation))
        }
    }

    private fun restore(event: FleetEvent.Restored, now: Duration) {
        if (event.covered <= applied) return
        applied = event.covered
        view.restore(event.state, now)
        view.updateApplied(self.incarnation, applied)
        table.restore(event.state.slots)
        slotsChanged(now)
        checkEnded()
    }

    private fun declareGone(event: FleetEvent.DeclaredGone, now: Duration) {
        view.declareGone(event.offset ?: applied, event.incarnation, now).forEach(::removalEffective)
        table.free(event.incarnation)
        slotsChanged(now)
        checkEnded()
    }

    private fun receive(event: FleetEvent.PeerReceived, now: Duration) {
        val from = event.from
        view.updateApplied(from.incarnation, event.appliedOffset)
        when (val message = event.message) {
            is PeerMessage.Probe -> {
                evidence.membershipReported(message.membership)
                val reply = PeerMessage.ProbeReply(message.id, view.offset, evidence.logReadable)
                out.add(FleetEffect.Send(from, reply))
            }

            is PeerMessage.ProbeReply -> {
                evidence.membershipReported(message.membership)
                if (from.incarnation in view) evidence.probeAnswered(from.incarnation, message.id)
            }

            is PeerMessage.TokenRequest -> grant(from, message, now)

            is PeerMessage.TokenGrant -> admissions.receiveGrant(message, currentClock, now)

            is PeerMessage.TokenReturn -> shares.receiveReturn(message, currentClock, now)

            else -> Unit
        }
    }

    private fun grant(from: Member, request: PeerMessage.TokenRequest, now: Duration) {
        if (from.incarnation !in view || !isCurrent(now)) return
        val grant = shares.grant(request, currentClock, now)
            ?: PeerMessage.TokenGrant(request.id, request.organisation, request.share, 0)
        out.add(FleetEffect.Send(from, grant))
    }

    private fun admit(event: FleetEvent.Admit, now: Duration) {
        val refusal = when {
            draining -> ResultCode.DRAINING
            !isCurrent(now) -> ResultCode.NOT_CURRENT
            else -> null
        }
        if (refusal == null) {
            admissions.admit(event, currentClock, now)
        } else {
            out.add(FleetEffect.Refused(event.id, refusal, times.appendRetry.inWholeMilliseconds))
        }
    }

    private fun drain(now: Duration) {
        if (draining) return
        draining = true
        admissions.refuseAll(ResultCode.DRAINING)
        assigner.releaseAll(now, append = evidence.logReadable)?.let { out.add(FleetEffect.Append(it)) }
        slotsChanged(now)
    }

    private fun tick(now: Duration) {
        if (ended) return
        view.advance(now).forEach(::removalEffective)
        detector.advance(now)
        shares.advanceHolds(currentClock, now)
        if (current) admissions.advance(currentClock, now)
        if (evidence.logReadable) appendRecords(now)
        slotsChanged(now)
    }

    private fun appendRecords(now: Duration) {
        val isMember = self.incarnation in view
        val slotRecord = when {
            !isMember -> null
            draining -> assigner.releaseAll(now, append = true)
            current -> assigner.next(now)
            else -> null
        }
        if (slotRecord != null) out.add(FleetEffect.Append(slotRecord))
        if (isMember && !draining && current) detector.removalRecord(now)?.let { out.add(FleetEffect.Append(it)) }
        if (now < nextMembershipAppend) return
        val mayLeave = draining && table.ownedBy(self.incarnation).isEmpty() && !admissions.hasUnsettled
        if (draining && !hasAppendedMembership) leaveUnjoined()
        val record = when {
            isMember && mayLeave -> LogRecord.HostLeft(self.incarnation)
            !isMember && !draining && evidence.hasReadLog -> LogRecord.HostJoined(self)
            else -> return
        }
        hasAppendedMembership = true
        nextMembershipAppend = now + times.appendRetry + times.appendJitter * random.nextDouble()
        out.add(FleetEffect.Append(record))
    }

    private fun leaveUnjoined() {
        ended = true
        out.add(FleetEffect.Left(self.incarnation))
    }

    private fun slotsChanged(now: Duration) {
        assigner.tableChanged(now)
        shares.slotsChanged(assigner.refilled, currentClock, now)
    }

    private fun removalEffective(member: Member) {
        evidence.forget(member.incarnation)
        out.add(FleetEffect.RemovalEffective(member))
    }

    private fun checkEnded() {
        if (ended || !view.hasEnded(self.incarnation)) return
        ended = true
        out.add(FleetEffect.SelfRemoved)
    }

    private fun reportMembers() {
        if (view.members === reportedMembers) return
        reportedMembers = view.members
        out.add(FleetEffect.MembersChanged(reportedMembers))
    }
}
