package io.anvilvalve.core

import io.anvilvalve.api.PoolScope
import io.anvilvalve.api.Reducer
import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.id.HostId
import io.anvilvalve.api.id.LogOffset
import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.log.KeptReply
import io.anvilvalve.api.log.LogRecord
import io.anvilvalve.api.log.Member
import io.anvilvalve.api.peer.FleetSummary
import io.anvilvalve.api.peer.PeerFrame
import io.anvilvalve.api.peer.PeerMessage
import io.anvilvalve.api.peer.PlacementMessage
import io.anvilvalve.api.port.LogFault
import io.anvilvalve.api.release.BackendServer
import io.anvilvalve.api.release.Release
import io.anvilvalve.api.result.LogEvent
import io.anvilvalve.api.result.ResultCode
import io.anvilvalve.rules.fleet.FleetEffect
import io.anvilvalve.rules.fleet.FleetEvent
import io.anvilvalve.rules.fleet.FleetRules
import io.anvilvalve.rules.release.ClaimRequest
import io.anvilvalve.rules.release.ReleaseEffect
import io.anvilvalve.rules.release.ReleaseEvent
import io.anvilvalve.rules.release.ReleaseRules
import io.anvilvalve.rules.scheduling.PoolScheduler
import io.anvilvalve.rules.scheduling.SchedulingEvent
import kotlin.random.Random
import kotlin.time.Duration

/** Makes all decisions of an entry host: handles one event and returns the effects to perform. */
class HostReducer(config: HostConfig) : Reducer<HostEvent, HostEffect> {
    private val self = config.self
    private val out = Outbox()

    private val fleet = FleetRules(self = self, seed = config.seed, slots = config.limitSlots)
    private val releases = ReleaseRules(self = self.incarnation, dataCentre = self.dataCentre, seed = config.seed)

    private val follower = LogFollower(out, Random(config.seed), FollowerSink())
    private val catchUp = PeerCatchUp(follower, ::send)
    private val snapshots = Snapshots(self, out) { HostSnapshot(fleet.snapshot(), releases.snapshot()) }
    private val keys = Keys()
    private val pools = PoolOwners(self, config.poolScope)
    private val servers = Servers(self.dataCentre.takeIf { config.poolScope == PoolScope.DATA_CENTRE })
    private val inFlight = InFlightTable(::send)
    private val backup = InFlightBackup(::send)
    private val cancels = Cancels(out, onFinished = inFlight::remove)
    private val placedWork = PlacedWork()
    private val ownedPools = OwnedPools(self.host, out, PoolScheduler(), pools, placedWork, ::placementDecided)
    private val orphans = Orphans(out, backup, placedWork, cancels)
    private val requests = ModelRequests(self, out, pools, cancels, inFlight, RequestHostOperations())
    private val calls = ServiceCalls(out, CallHostOperations())
    private val drain = Drain(out)
    private val statusPublisher = StatusPublisher(out)
    private val intake = Intake(out, Admission(keys), drain) { release }

    private var release = Release()
    private var members: List<Member> = emptyList()
    private var current = false
    private var started = false

    override fun reduce(event: HostEvent, now: Duration): List<HostEffect> {
        out.now = now
        if (!started) {
            started = true
            follower.start()
        }
        handle(event)
        inFlight.flush(now)
        return out.drain()
    }

    private fun handle(event: HostEvent) {
        when (event) {
            is HostEvent.LogRead -> follower.onRead(event.sentAt, event.result)

            is HostEvent.Appended -> appended(event)

            is HostEvent.FrameReceived -> handleFrame(event.frame)

            is HostEvent.LiveListRead -> if (servers.liveListRead(event.hosts)) serversChanged()

            is HostEvent.RequestArrived -> intake.arrived(event.request, requests::accept)

            is HostEvent.ServiceArrived -> intake.arrived(event.request, calls::accept)

            is HostEvent.CallerGone -> if (!requests.callerGone(event.id)) calls.callerGone(event.id)

            is HostEvent.PrefillEnded -> requests.prefillEnded(event.id, event.attempt, event.result)

            is HostEvent.TokensDelivered -> requests.tokensDelivered(event.id, event.attempt, event.delivered)

            is HostEvent.DecodeEnded -> requests.decodeEnded(event.id, event.attempt, event.delivered, event.fault)

            is HostEvent.ServiceReplied -> calls.replied(event.id, event.result)

            is HostEvent.CancelAnswered -> cancels.answered(event.server, event.engineId, event.confirmed)

            is HostEvent.LoadRead -> event.report?.let {
                ownedPools.schedule(SchedulingEvent.LoadReported(event.server, it))
            }

            is HostEvent.CacheRead -> ownedPools.schedule(SchedulingEvent.CacheReported(event.server, event.events))

            is HostEvent.StateRead -> reduceReleases(ReleaseEvent.StateRead(event.server, event.state))

            is HostEvent.OrderAnswered -> reduceReleases(ReleaseEvent.OrderAnswered(event.server, event.refused))

            is HostEvent.KeyWithdrawn -> withdrawKey(event)

            is HostEvent.DrainRequested -> drain.start(event.deadline)

            is HostEvent.Tick -> tick(event.wallMillis)
        }
    }

    private fun tick(wallMillis: Long) {
        reduceFleet(FleetEvent.Tick)
        reduceReleases(ReleaseEvent.Tick(wallMillis))
        ownedPools.schedule(SchedulingEvent.Tick)
        requests.tick()
        cancels.tick()
        reachableChanged()
        catchUp.tick(pools.reachable, out.now)
        if (current) snapshots.writeIfDue(members.map { it.host }, follower.applied)
        drain.tick(
            running = requests.size + calls.size,
            cancels = cancels.size,
            onDeadline = { failAll(ResultCode.STREAM_BROKEN) },
            onLeaving = { reduceFleet(FleetEvent.Drain) },
        )
        statusChanged()
    }

    private fun appended(event: HostEvent.Appended) {
        val fault = event.result.leftOrNull() ?: return
        reduceReleases(ReleaseEvent.AppendFailed(event.records, mayHaveHappened = fault !is LogFault.RateLimited))
    }

    private fun handleFrame(frame: PeerFrame) {
        val from = members.firstOrNull { it.host == frame.sender && it.incarnation == frame.incarnation } ?: return
        pools.recordContact(from.host, out.now)
        catchUp.recordAppliedOffset(from.host, frame.appliedOffset)
        handleMessage(from, frame.appliedOffset, frame.message)
    }

    private fun handleMessage(from: Member, offset: LogOffset, message: PeerMessage) {
        when (message) {
            is PeerMessage.Probe, is PeerMessage.ProbeReply, is PeerMessage.TokenRequest, is PeerMessage.TokenGrant,
            is PeerMessage.TokenReturn,
            -> reduceFleet(FleetEvent.PeerReceived(from, offset, message))

            is PeerMessage.RecordsRequest -> catchUp.answer(from, message.from, snapshots::encode)

            is PeerMessage.Records -> handlePeerRecords(message)

            is PeerMessage.KeyWithdrawn -> reduceReleases(ReleaseEvent.KeyWithdrawalReceived(message.hash))

            is PeerMessage.ClaimBatch -> reduceReleases(ReleaseEvent.ClaimsReceived(message.claims))

            is PeerMessage.InFlightDelta -> backup.apply(from, message)

            is PeerMessage.InFlightResync -> inFlight.resync(from)

            is PeerMessage.Placement -> requests.placement(message.id, message.attempt, message.outcome, from.host)

            is PeerMessage.Submit, is PeerMessage.WorkProgress, is PeerMessage.WorkRunning -> ownedPools.handle(message)

            // Sent only among hosts that route by a configuration in the platform's store; ignored here.
            is PeerMessage.Gossip, is PeerMessage.StateRequest, is PeerMessage.SharedState,
            is FleetSummary, is PlacementMessage,
            -> Unit
        }
    }

    private fun handlePeerRecords(message: PeerMessage.Records) {
        val bytes = message.snapshot
        val covered = message.covered
        if (bytes != null && covered != null) snapshots.decode(covered, bytes)?.let { restore(covered, it) }
        follower.onPeerRecords(message.from, message.records.map { it.bytes })
    }

    private fun withdrawKey(event: HostEvent.KeyWithdrawn) {
        reduceReleases(ReleaseEvent.KeyWithdrawalReceived(event.hash))
        out.emit(HostEffect.AppendToLog(listOf(LogRecord.KeyWithdrawn(event.hash))))
    }

    private fun reduceFleet(event: FleetEvent) = fleet.reduce(event, out.now).forEach(::onFleet)

    private fun onFleet(effect: FleetEffect) {
        when (effect) {
            is FleetEffect.Append -> out.emit(HostEffect.AppendToLog(listOf(effect.record)))

            is FleetEffect.Send -> send(effect.to, effect.message)

            is FleetEffect.Admitted -> if (!calls.admitted(effect.id)) requests.admitted(effect.id)

            is FleetEffect.Refused ->
                if (!calls.refused(effect.id, effect.code, effect.retryAfterMillis)) {
                    requests.refused(effect.id, effect.code, effect.retryAfterMillis)
                }

            is FleetEffect.CurrentChanged -> currentChanged(effect.current)

            is FleetEffect.MembersChanged -> membersChanged(effect.members)

            is FleetEffect.RemovalEffective -> memberRemoved(effect.member)

            is FleetEffect.SelfRemoved -> selfRemoved()

            is FleetEffect.Left -> drain.left()
        }
    }

    private fun currentChanged(next: Boolean) {
        current = next
        out.log(if (next) LogEvent.CURRENT_REGAINED else LogEvent.CURRENT_LOST, "applied" to follower.applied)
        reduceReleases(ReleaseEvent.MembersChanged(members, current))
        statusChanged()
    }

    private fun membersChanged(next: List<Member>) {
        val known = members.map { it.incarnation }.toSet()
        next.filter { it.incarnation !in known }.forEach { out.log(LogEvent.MEMBER_JOINED, "member" to it.incarnation) }
        members = next
        pools.membersChanged(next, out.now)
        inFlight.replicateTo(BackupSelector.select(self, next))
        reduceReleases(ReleaseEvent.MembersChanged(next, current))
        reachableChanged()
    }

    private fun memberRemoved(member: Member) {
        out.log(LogEvent.MEMBER_REMOVED, "member" to member.incarnation)
        reduceReleases(ReleaseEvent.RemovalEffective(member.incarnation))
        orphans.cancel(member, servers::get)
        ownedPools.schedule(SchedulingEvent.OriginRemoved(member.host))
    }

    private fun selfRemoved() {
        failAll(ResultCode.STREAM_BROKEN)
        out.emit(HostEffect.Exit(clean = false))
    }

    private fun failAll(code: ResultCode) {
        requests.failAll(code)
        calls.failAll(code)
    }

    private fun reachableChanged() {
        if (!pools.refresh(out.now)) return
        requests.ownersChanged()
        ownedPools.watch(release, servers.owned)
    }

    private fun reduceReleases(event: ReleaseEvent) = releases.reduce(event, out.now).forEach(::onRelease)

    private fun onRelease(effect: ReleaseEffect) {
        when (effect) {
            is ReleaseEffect.Append -> out.emit(HostEffect.AppendToLog(effect.records))

            is ReleaseEffect.Send -> send(effect.to, effect.message)

            is ReleaseEffect.ReleaseChanged -> releaseChanged(effect.release)

            is ReleaseEffect.NoteRejected ->
                out.log(LogEvent.RELEASE_REJECTED, "note" to effect.note, "faults" to effect.faults)

            is ReleaseEffect.DeclaredGone -> reduceFleet(FleetEvent.DeclaredGone(effect.incarnation))

            is ReleaseEffect.KeyWithdrawn -> keyWithdrawn(effect)

            is ReleaseEffect.ClaimWon -> calls.claimWon(effect.id)

            is ReleaseEffect.ClaimReplayed -> calls.claimReplayed(effect.id, effect.reply)

            is ReleaseEffect.ClaimRefused -> calls.refused(effect.id, effect.code)

            is ReleaseEffect.ReadState -> servers[effect.server]?.let { out.emit(HostEffect.ReadState(it)) }

            is ReleaseEffect.SendOrder -> servers[effect.server]?.let { server ->
                out.log(LogEvent.ORDER_SENT, "server" to server.id, "order" to effect.order.id)
                out.emit(HostEffect.SendOrder(server, effect.order))
            }
        }
    }

    private fun releaseChanged(next: Release) {
        val last = release
        release = next
        out.log(LogEvent.RELEASE_APPLIED, "release" to next.number, "offset" to follower.applied)
        keys.releaseChanged(next)
        headRulesChanged()
        // A release shares its unchanged maps with the previous release. They are skipped, because processing them
        // takes milliseconds at 12,000 servers.
        if (next.organisations !== last.organisations) reduceFleet(FleetEvent.LimitsChanged(next.organisations.values))
        if (next.servers !== last.servers || next.models !== last.models) {
            servers.releaseChanged(next)
            serversChanged()
        }
        statusChanged()
    }

    private fun serversChanged() {
        ownedPools.schedule(SchedulingEvent.ServersChanged(servers.owned, release.models.values))
        ownedPools.watch(release, servers.owned)
    }

    private fun keyWithdrawn(effect: ReleaseEffect.KeyWithdrawn) {
        keys.withdraw(effect.hash)
        headRulesChanged()
        out.log(LogEvent.KEY_WITHDRAWN, "key" to effect.hash)
        // Other hosts read a logged withdrawal from the log.
        val recipients = if (effect.inLog) emptyList() else members.filter { it.host != self.host }
        recipients.forEach { send(it, PeerMessage.KeyWithdrawn(effect.hash)) }
        requests.keyWithdrawn(effect.hash)
        calls.keyWithdrawn(effect.hash)
    }

    private fun headRulesChanged() = out.emit(HostEffect.HeadRulesChanged(HeadRules(release, keys.copy())))

    private fun placementDecided(origin: HostId, placement: PeerMessage.Placement) =
        if (origin == self.host) handleMessage(self, follower.applied, placement) else sendToHost(origin, placement)

    private fun sendToHost(host: HostId, message: PeerMessage) {
        members.firstOrNull { it.host == host }?.let { send(it, message) }
    }

    private fun send(to: Member, message: PeerMessage) {
        val frame = PeerFrame(PeerFrame.VERSION, self.host, self.incarnation, follower.applied, message)
        out.emit(HostEffect.SendFrame(to, frame))
    }

    private fun restore(covered: LogOffset, state: HostSnapshot): Boolean {
        if (!follower.advanceTo(covered)) return false
        reduceReleases(ReleaseEvent.Restored(covered, state.release))
        reduceFleet(FleetEvent.Restored(covered, state.fleet))
        return true
    }

    private fun statusChanged() = statusPublisher.update(
        HostStatus(
            host = self.host,
            incarnation = self.incarnation,
            release = release.number,
            appliedOffset = follower.applied,
            current = current,
            ready = current && release.number.value > 0 && !drain.active,
            draining = drain.active,
            members = members.map { it.incarnation },
            models = release.models.keys.toList(),
            running = requests.size + calls.size,
        ),
    )

    private inner class FollowerSink : LogFollower.Sink {
        override fun apply(offset: LogOffset, record: LogRecord, bytes: ByteArray) {
            catchUp.applied(offset, bytes)
            snapshots.applied(record, bytes.size)
            if (record is LogRecord.SnapshotChunk) {
                snapshots.offer(record)
                return
            }
            reduceReleases(ReleaseEvent.RecordApplied(offset, record))
            reduceFleet(FleetEvent.RecordApplied(offset, record))
        }

        override fun offerSnapshot(offset: LogOffset, chunk: LogRecord.SnapshotChunk): LogOffset? {
            val (covered, state) = snapshots.offer(chunk) ?: return null
            return covered.takeIf { restore(covered, state) }
        }

        override fun tailReached(sentAt: Duration) {
            reduceReleases(ReleaseEvent.TailReached)
            reduceFleet(FleetEvent.TailReached(sentAt))
        }

        override fun failed() = reduceFleet(FleetEvent.LogFailed)
    }

    private inner class RequestHostOperations : ModelRequests.HostOperations {
        override fun server(id: BackendServerId): BackendServer? = servers[id]

        override fun admit(running: RunningRequest, deadline: Duration) =
            reduceFleet(FleetEvent.Admit(running.request.id, running.organisation, running.chargedTokens, deadline))

        override fun settle(id: RequestId, used: Long) = reduceFleet(FleetEvent.Settle(id, used))

        override fun isCurrent(): Boolean = current

        override fun sendToOwner(owner: HostId, message: PeerMessage) =
            if (owner == self.host) ownedPools.handle(message) else sendToHost(owner, message)
    }

    private inner class CallHostOperations : ServiceCalls.HostOperations {
        override fun server(id: BackendServerId): BackendServer? = servers[id]

        override fun admit(call: RunningCall, deadline: Duration) = reduceFleet(
            FleetEvent.Admit(call.request.id, checkNotNull(call.organisation), call.route.costTokens, deadline),
        )

        override fun settle(id: RequestId, used: Long) = reduceFleet(FleetEvent.Settle(id, used))

        override fun claim(call: RunningCall) =
            reduceReleases(ReleaseEvent.ClaimRequested(call.request.id, call.claimRequest()))

        override fun completeClaim(id: RequestId, reply: KeptReply) =
            reduceReleases(ReleaseEvent.ClaimReplied(id, reply))

        override fun abandonClaim(id: RequestId, sent: Boolean) = reduceReleases(ReleaseEvent.ClaimGivenUp(id, sent))
    }
}
