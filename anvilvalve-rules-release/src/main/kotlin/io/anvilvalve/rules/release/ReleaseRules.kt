package io.anvilvalve.rules.release

import io.anvilvalve.api.Reducer
import io.anvilvalve.api.RendezvousHash
import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.id.DataCentreId
import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.id.KeyHash
import io.anvilvalve.api.id.LogOffset
import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.log.LogRecord
import io.anvilvalve.api.log.Member
import io.anvilvalve.api.peer.PeerMessage
import io.anvilvalve.api.release.Change
import io.anvilvalve.api.release.Release
import kotlin.random.Random
import kotlin.time.Duration

/**
 * Rules of one host for release notes, keys, at-most-once claims and engine orders.
 *
 * @param self incarnation of this process.
 * @param dataCentre data centre of this host; claims are aggregated only among its hosts.
 * @param seed seed of the random delay before a received withdrawal is appended.
 * @param aggregateClaims whether one host of the data centre appends the claims of all its hosts.
 */
class ReleaseRules(
    private val self: Incarnation,
    private val dataCentre: DataCentreId? = null,
    seed: Long = 0,
    private val times: ReleaseTimes = ReleaseTimes(),
    private val aggregateClaims: Boolean = false,
) : Reducer<ReleaseEvent, ReleaseEffect> {
    private val state = ReleaseState()
    private val withdrawn = WithdrawnKeys()
    private val outbox = LogOutbox(times)
    private val claimTable = ClaimTable(times.claimRetention * CLOCK_DRIFT_FACTOR + IdempotencyKeys.MAX_CLOCK_SKEW)
    private val claims = ClaimCoordinator(self, claimTable, outbox, times, ::isGone)
    private val leases = OrderLeases(self, outbox, times)
    private val orders = OrderIssuer(leases, outbox, times)
    private val random = Random(seed)
    private val removed = mutableSetOf<Incarnation>()
    private var members = emptyList<Member>()
    private var now = Duration.ZERO
    private var out = mutableListOf<ReleaseEffect>()

    /** Offset of the last applied record; -1 before the first one. */
    var applied: LogOffset = LogOffset(-1)
        private set

    /**
     * Engines whose role change is held back because a pool would fall below the capacity that the release requires.
     */
    val heldEngines: Set<BackendServerId> get() = orders.heldEngines

    /** Release in force as defined by the log, without the keys whose withdrawal is in the log. */
    val release: Release get() = state.release

    override fun reduce(event: ReleaseEvent, now: Duration): List<ReleaseEffect> {
        this.now = now
        handle(event)
        out += claims.takeEffects()
        out += orders.takeEffects()
        flush()
        return out.also { out = mutableListOf() }
    }

    /** Returns the state as of [applied]. */
    fun snapshot(): ReleaseSnapshot = state.snapshot().copy(
        heardWithdrawals = withdrawn.all - state.withdrawnKeys,
        claims = claimTable.keptClaims(now),
        abandonedClaims = claimTable.abandonedClaims(now),
        orderLease = leases.newest,
    )

    /** Returns the organisation that a key belongs to, or null if the key is unknown or withdrawn. */
    fun organisationOf(hash: KeyHash): OrganisationId? =
        release.keys[hash]?.takeIf { it.hash.matches(hash) && hash !in withdrawn }?.organisation

    private fun handle(event: ReleaseEvent) {
        when (event) {
            is ReleaseEvent.RecordApplied -> recordApplied(event)
            is ReleaseEvent.Restored -> restored(event)
            is ReleaseEvent.KeyWithdrawalReceived -> withdrawalReceived(event.hash)
            is ReleaseEvent.TailReached -> tailReached()
            is ReleaseEvent.AppendFailed -> appendFailed(event)
            is ReleaseEvent.ClaimRequested -> claims.request(event.id, event.claim, now)
            is ReleaseEvent.ClaimsReceived -> outbox.addPeerClaims(event.claims)
            is ReleaseEvent.ClaimReplied -> claims.replied(event.id, event.reply, now)
            is ReleaseEvent.ClaimGivenUp -> claims.givenUp(event.id, event.sent, now)
            is ReleaseEvent.MembersChanged -> membersChanged(event)
            is ReleaseEvent.RemovalEffective -> ownerRemoved(event.incarnation)
            is ReleaseEvent.StateRead -> orders.stateRead(event.server, event.state, now)
            is ReleaseEvent.OrderAnswered -> orders.orderAnswered(event.server, event.refused, now)
            is ReleaseEvent.Tick -> tick(event.wallMillis)
        }
    }

    private fun recordApplied(event: ReleaseEvent.RecordApplied) {
        if (event.offset <= applied) return
        applied = event.offset
        when (val record = event.record) {
            is LogRecord.Note -> noteApplied(record)

            is LogRecord.KeyWithdrawn -> {
                outbox.confirm(record)
                state.withdraw(record.hash)
                revoke(record.hash, inLog = true)
            }

            is LogRecord.Claims -> claims.claimed(record.claims, now)

            is LogRecord.ClaimOutcome -> claims.settled(record, now)

            is LogRecord.ClaimAbandoned -> claims.abandoned(record.claim, now)

            is LogRecord.HostLeft -> ownerRemoved(record.incarnation)

            is LogRecord.OrderLease -> {
                leases.granted(event.offset, record, now)
                orders.leaseChanged(now)
            }

            is LogRecord.OrderDone -> outbox.confirm(record)

            is LogRecord.SnapshotChunk,
            is LogRecord.HostJoined,
            is LogRecord.HostRemoved,
            is LogRecord.SlotsAssigned,
            is LogRecord.SlotsReleased,
            -> Unit
        }
    }

    private fun noteApplied(record: LogRecord.Note) {
        val before = release.number
        out += state.apply(record.note)
        if (release.number == before) return
        releaseChanged()
        record.note.changes.filterIsInstance<Change.WithdrawKey>().forEach { revoke(it.hash, inLog = true) }
    }

    private fun releaseChanged() {
        out += ReleaseEffect.ReleaseChanged(release)
        orders.releaseChanged(release)
    }

    private fun restored(event: ReleaseEvent.Restored) {
        if (event.covered <= applied) return
        applied = event.covered
        val keysBefore = release.keys.keys
        state.restore(event.state)
        claimTable.restore(event.state, now)
        leases.restore(event.state.orderLease)
        releaseChanged()
        event.state.withdrawnKeys.forEach { if (it in keysBefore) revoke(it, inLog = true) else withdrawn.add(it) }
        event.state.heardWithdrawals.forEach { withdrawalReceived(it) }
        claims.reconsider(now)
    }

    private fun tick(wallMillis: Long) {
        claims.tick(wallMillis, now)
        leases.tick(now)
        orders.tick(now)
    }

    private fun withdrawalReceived(hash: KeyHash) {
        if (hash in withdrawn) return
        revoke(hash, inLog = false)
        outbox.add(LogRecord.KeyWithdrawn(hash), now + times.withdrawalJitter * random.nextDouble())
    }

    private fun revoke(hash: KeyHash, inLog: Boolean) {
        if (withdrawn.add(hash)) out += ReleaseEffect.KeyWithdrawn(hash, inLog)
    }

    private fun tailReached() {
        outbox.tailReached(now)
        claims.logTailReached()
        leases.tailReached(now)
    }

    private fun appendFailed(event: ReleaseEvent.AppendFailed) {
        outbox.appendFailed(event.records, event.mayHaveHappened, now)
        if (event.mayHaveHappened) claims.logAppendFailed(now)
    }

    private fun membersChanged(event: ReleaseEvent.MembersChanged) {
        members = event.members
        leases.membersChanged(members.map { it.incarnation }.toSet(), event.current)
        claims.reconsider(now)
    }

    private fun ownerRemoved(incarnation: Incarnation) {
        removed += incarnation
        claims.reconsider(now)
    }

    private fun isGone(incarnation: Incarnation): Boolean = incarnation != self &&
        (incarnation in removed || (members.isNotEmpty() && members.none { it.incarnation == incarnation }))

    private fun flush() {
        val aggregator = if (aggregateClaims) aggregator() else null
        val batch = outbox.flush(now, forwardClaims = aggregator != null && aggregator.incarnation != self)
        if (batch.records.isNotEmpty()) out += ReleaseEffect.Append(batch.records)
        if (aggregator != null && batch.forwarded.isNotEmpty()) {
            out += ReleaseEffect.Send(aggregator, PeerMessage.ClaimBatch(batch.forwarded))
        }
    }

    private fun aggregator(): Member? {
        val candidates = members.filter { it.dataCentre == dataCentre }
        val chosen = RendezvousHash.choose("claims", candidates.map { it.incarnation.value })
        return candidates.firstOrNull { it.incarnation.value == chosen }
    }
}
