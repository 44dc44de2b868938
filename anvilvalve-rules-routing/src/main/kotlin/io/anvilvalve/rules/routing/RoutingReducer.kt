package io.anvilvalve.rules.routing

import io.anvilvalve.api.Reducer
import io.anvilvalve.api.log.Member
import io.anvilvalve.api.peer.FleetSummary
import io.anvilvalve.api.peer.PeerFrame
import io.anvilvalve.api.peer.PeerMessage
import io.anvilvalve.api.peer.PlacementMessage
import io.anvilvalve.api.result.LogEvent
import io.anvilvalve.api.routing.Backend
import io.anvilvalve.api.routing.RecordedUsage
import io.anvilvalve.api.routing.RoutingConfiguration
import io.anvilvalve.api.routing.StateDecoder
import io.anvilvalve.api.routing.StoredEntry
import kotlin.random.Random
import kotlin.time.Duration

/**
 * Makes all decisions of a host that routes by a configuration in the platform's store.
 *
 * @param seeds peer addresses to use while no other host is known.
 * @param seed seed of all pseudo-random choices.
 */
class RoutingReducer(
    private val self: Member,
    decoder: StateDecoder,
    settings: RoutingSettings = RoutingSettings(),
    seeds: List<String> = emptyList(),
    seed: Long = 0,
) : Reducer<RoutingEvent, RoutingEffect> {
    private val out = Outbox()
    private val random = Random(seed)
    private val configuration = ConfigurationState(decoder)
    private val coldTimes = ColdTimes(out)
    private val directory = Directory(out, decoder, coldTimes)
    private val peers = Peers(self, out)
    private val coordinators = Coordinators(self, out, peers)
    private val loads = ServerLoads(out)
    private val balance = StageBalance(out, directory, loads, settings)
    private val reports = ServerReports(peers, balance)
    private val leaving = LeavingServers(out, directory)
    private val idleConnections =
        IdleConnections(out, directory, leaving, { (peers.size + 1).takeIf { state.areHostsRead } }) {
            configuration.service(it.service)
        }
    private val pauses = ServerPauses(out)
    private val evacuations = Evacuations(out, decoder) { dataCentre ->
        coldTimes.assumeCold(directory.all.filter { it.dataCentre == dataCentre && toleratedCold(it) > 0 })
    }
    private val versions = ServiceVersions(out, directory, peers) {
        configuration.current?.longestStream ?: Duration.ZERO
    }
    private val streams: StreamVersions = StreamVersions(out, directory, versions) { state.directoryAge }
    private val coldShares = ColdShares(self, out, peers, coordinators)
    private val coldServers = ColdServers(out, coldTimes, coldShares, settings.cold, ::toleratedCold)
    private val serverRules: List<ServerRule> =
        listOf(leaving, pauses, evacuations, coldServers, HomeRegions(settings.regions), streams)
    private val turnaround = Turnaround()
    private val slowness = ServerSlowness(out, loads)
    private val costs = CostModel(out)
    private val placement = Placement(
        self.dataCentre,
        out,
        directory,
        loads,
        reports,
        random,
        serverRules,
        turnaround,
        slowness,
        HostRegions(peers, settings.regions),
    )
    private val outcomes =
        ServerOutcomes(out, directory, placement, balance, slowness) { configuration.service(it)?.engine }
    private val quotas = SharedQuotas(out, coordinators, settings.quota)
    private val retries = SharedRetries(out, coordinators, settings)
    private val weights = ShareWeights()
    private val queues = Queues(self, out, placement, peers, coordinators, weights)
    private val drain = Drain(out, settings.drainLimit, peers)
    private val admission = RequestAdmission(out, configuration, quotas, costs, streams, random)
    private val completion = RequestCompletion(out, quotas, configuration, random)
    private val delegated: DelegatedPlacement =
        DelegatedPlacement(out, coordinators, placement, quotas, streams, random.nextLong(MAX_FIRST_NUMBER), ::send)
    private val remote: RemotePlacements =
        RemotePlacements(self.incarnation, out, queues, placement, loads, turnaround, ::send)
    private val crashingParts = CrashingParts(out, peers)
    private val requests =
        Requests(
            out,
            placement,
            loads,
            retries,
            queues,
            completion,
            outcomes,
            costs,
            delegated,
            remote,
            drain,
            crashingParts,
            pauses,
            QuotaConfirmations(quotas, coordinators, random) { isPlacer },
            streams,
        ) {
            coordinators.placer(isAvailable)
        }
    private val orders = OrderDispatcher(out, peers, balance, configuration, settings)
    private val hostEntries = HostEntries(out, peers)
    private val state = StateFollower(out, configuration, directory, evacuations, peers, hostEntries, StateSink())
    private val exchange = StateExchange(out, configuration, directory, state)
    private val storeReading = StoreReading(out, peers, coordinators, state, hostEntries, exchange)
    private val usageWriter = UsageWriter(out, peers, quotas)
    private val gossip: Gossip = Gossip(self, seeds, out, peers, coordinators) { sequence, heard ->
        PeerMessage.Gossip(
            member = self,
            sequence = sequence,
            heard = heard,
            configuration = configuration.version,
            directory = directory.position.offset,
            era = directory.position.era,
            usage = quotas.usage,
            loads = loads.ownLoads,
            attempts = retries.buildReport(queues),
            changing = balance.changing,
            unreachable = placement.unreachable(),
            settled = quotas.settled,
            outcomes = outcomes.drain(),
            grants = delegated.grantsSeen,
            isReport = !coordinators.isDirect,
            ready = ready,
            drainMillis = drain.acceptingTime?.inWholeMilliseconds?.toInt(),
            parts = crashingParts.report,
            leaving = leaving.known,
            serverStates = slowness.drain(),
            costs = costs.drain(),
            evacuations = evacuations.report,
            streams = streams.report(gossipReceivers.mapTo(HashSet()) { it.incarnation }),
        )
    }
    private val gossipReceivers: List<Member>
        get() = if (coordinators.isDirect) peers.all.map { it.member } else coordinators.targets

    private val summaries: SummarySender = SummarySender(out, peers, coordinators, ::send) { number, alive ->
        FleetSummary(
            member = self,
            number = number,
            alive = alive,
            configuration = configuration.version,
            directory = directory.changedAt.offset,
            era = directory.changedAt.era,
            storeAgeMillis = state.storeAge.inWholeMilliseconds,
            available = isAvailable,
            totals = if (isAvailable) SummaryLimits.limit(buildTotals()) else null,
            evacuations = evacuations.report,
        )
    }

    /** Whether this host may place requests for others: it serves, and most hosts report to it. */
    private val isAvailable: Boolean
        get() = coordinators.hearsMost && ready

    private var ready = false

    /** Whether a message to other hosts waits for the next event. */
    val isMessagePending: Boolean get() = gossip.isPending

    override fun reduce(event: RoutingEvent, now: Duration): List<RoutingEffect> {
        out.now = now
        val available = isAvailable
        placement.knowsLoads = coordinators.isDirect || available
        costs.learnsFromAll = coordinators.isDirect || coordinators.selfCoordinates
        coldShares.observe(available, available && coordinators.placer(true) == null, state.areHostsRead)
        handle(event)
        updateReady()
        idleConnections.update()
        gossip.flush()
        summaries.flush()
        return out.drain()
    }

    private fun handle(event: RoutingEvent) {
        when (event) {
            is RoutingEvent.StateRead -> state.readCompleted(event.topic, event.result)

            is RoutingEvent.Arrived -> {
                drain.requestArrived()
                gossipIfChanged { admission.admit(event.request, requests::accept) }
            }

            is RoutingEvent.CallerGone -> gossipIfChanged { requests.callerGone(event.id, event.closedHere) }

            is RoutingEvent.PrefillEnded -> gossipIfChanged {
                requests.prefillEnded(event.id, event.attempt, event.result)
            }

            is RoutingEvent.AnswerProgressed -> requests.answerProgressed(event.id, event.attempt, event.events)

            is RoutingEvent.AnswerStarted -> if (requests.answerStarted(event)) {
                gossip.sendWithin(RoutingTimes.GOSSIP_CALLS_DELAY)
            }

            is RoutingEvent.ServerReported -> serverReported(event)

            is RoutingEvent.AttemptEnded -> gossipIfChanged {
                requests.attemptEnded(event.id, event.attempt, event.result, event.events)
            }

            is RoutingEvent.FrameReceived -> handleFrame(event.frame)

            is RoutingEvent.FencingTokenAcquired -> orders.fencingTokenAcquired(event.token)

            is RoutingEvent.OrderEnded -> orders.orderEnded(event.outcome)

            is RoutingEvent.ConnectionsCounted -> drain.connectionsCounted(event, requests.size)

            is RoutingEvent.DrainRequested -> drain.start(event.announced)

            RoutingEvent.Tick -> tick()
        }
    }

    private fun serverReported(event: RoutingEvent.ServerReported) {
        event.signals.load?.let { slowness.reported(event.server.id, it) }
        event.signals.cold?.let { coldTimes.record(event.server, it) }
        event.signals.retryAfter?.let { pauses.reported(event.server, it) }
        if (event.signals.leaving && leaving.reported(event.server)) tellLeaving()
    }

    /** Tells the other hosts at once which servers leave, so that no coordinator grants them. */
    private fun tellLeaving() {
        idleConnections.changed()
        gossip.sendWithin(RoutingTimes.GOSSIP_DELAY)
        summaries.sendWithin(Duration.ZERO)
    }

    private inline fun gossipIfChanged(action: () -> Unit) {
        val before = loads.changeCount
        val queued = queues.changeCount
        action()
        if (loads.changeCount != before) {
            // In a large fleet, the coordinator that places a call is told of its end without a report.
            val delay =
                if (coordinators.isDirect) RoutingTimes.GOSSIP_CALLS_DELAY else RoutingTimes.CALLS_REPORT_DELAY
            gossip.sendWithin(delay)
        }
        // Only in a small fleet do hosts compare the heads of their queues.
        val isHeadChanged = coordinators.isDirect && queues.changeCount != queued
        if (loads.consumeMemoryChanged() || isHeadChanged) gossip.sendWithin(RoutingTimes.GOSSIP_DELAY)
    }

    private fun tick() {
        coordinators.update()
        if (coordinators.selfCoordinates || coordinators.isDirect) useReports()
        reports.invalidate()
        gossip.tick()
        state.tick()
        crashingParts.update()
        storeReading.tick()
        state.selectStatePeer()?.takeUnless { exchange.isPageAwaited }?.let {
            gossip.send(it.member, exchange.request(it.member.host))
        }
        quotas.tick()
        versions.tick()
        streams.tick()
        usageWriter.tick()
        loads.tick()
        requests.tick()
        if (!drain.active) orders.tick()
        drain.tick(requests.size, onLimit = requests::failAll)
    }

    private fun handleFrame(frame: PeerFrame) {
        when (val message = frame.message) {
            is PeerMessage.Gossip -> handleGossip(message)
            is PeerMessage.StateRequest -> answerStateRequest(frame, message)
            is PeerMessage.SharedState -> applySharedState(frame, message)
            is FleetSummary -> gossipIfChanged { handleSummary(message) }
            is PlacementMessage -> gossipIfChanged { handlePlacement(frame, message) }
            else -> out.log(LogEvent.PEER_REFUSED, "peer" to frame.sender, "reason" to "unexpected message type")
        }
    }

    private fun handleGossip(message: PeerMessage.Gossip) = gossipIfChanged {
        val peer = peers.receive(message) ?: return@gossipIfChanged
        val last = peer.lastMessage
        val lastAt = peer.lastReportAt
        peer.lastMessage = message
        peer.lastReportAt = out.now
        if (message.isReport) coordinators.reported()
        reports.invalidate()
        quotas.applyReport(message, last, lastAt)
        retries.applyReport(message, last, lastAt)
        loads.applyReport(message.member.host, message.loads)
        slowness.applyReport(message.serverStates)
        outcomes.applyReport(message.outcomes)
        costs.applyReport(message.costs)
        streams.applyReport(message.streams)
        remote.reported(message.member.host, message.grants)
        coldShares.grantsReported(message.member.host, message.grants)
        if (message.parts != null) crashingParts.update()
        if (leaving.applyReport(message.member.host.value, message.leaving)) tellLeaving()
        state.applyPeerEvacuations(message.evacuations)
        // The other coordinators send their totals at the usual interval, in case the first one is lost.
        if (isPlacer && (last?.usage != message.usage || last.loads != message.loads)) {
            summaries.sendWithin(RoutingTimes.SUMMARY_DELAY)
        }
        requests.placeAll()
    }

    private fun handleSummary(message: FleetSummary) {
        if (message.member.host == self.host || !coordinators.receive(message)) return
        peers.registerHeard(message.member)
        peers[message.member.host]?.let { peers.hear(it, acknowledged = self.incarnation.hash in message.alive) }
        peers.mention(message.alive)
        message.totals?.let {
            if (leaving.applyReport(message.member.host.value, it.leaving)) idleConnections.changed()
        }
        // Also a coordinator, which may have started later than the others.
        message.totals?.let { costs.applyTotals(it.costs) }
        state.applyPeerEvacuations(message.evacuations)
        if (!coordinators.isDirect && !coordinators.hearsMost) {
            message.totals?.let {
                quotas.applyTotals(coordinators.totalsToUse(message))
                retries.applyTotals(it.attempts)
            }
        }
        message.totals?.takeIf { !coordinators.isDirect && !coordinators.selfCoordinates }?.let(::useTotals)
        exchange.requestFor(message)?.let { send(message.member, it) }
        requests.placeAll()
    }

    private fun useTotals(totals: FleetSummary.Totals) {
        loads.applyTotals(totals.loads)
        reports.useTotals(totals)
        crashingParts.useTotals(totals.parts)
    }

    /** Forgets the totals of coordinators, because this host receives the reports of the others itself. */
    private fun useReports() {
        loads.dropTotals()
        reports.useTotals(null)
        crashingParts.useTotals(null)
    }

    private fun buildTotals() = FleetSummary.Totals(
        settled = quotas.settled,
        usage = quotas.totals,
        loads = loads.totals,
        attempts = retries.buildTotals(),
        changing = reports.allChanging.toList(),
        unreachable = (reports.allUnreachable + placement.unreachable()).toList(),
        parts = crashingParts.buildTotals(),
        leaving = leaving.known,
        costs = costs.share(),
    )

    private fun handlePlacement(frame: PeerFrame, message: PlacementMessage) {
        val from = frame.sender
        when (message) {
            is PlacementMessage.Request -> placeForPeer(frame, message)

            is PlacementMessage.Cancelled -> {
                remote.cancel(from, message.number)
                quotas.withdrawn(QuestionId(frame.incarnation, message.number))
            }

            is PlacementMessage.Queued -> delegated.queued(from, message)

            is PlacementMessage.Placed -> {
                val prefill = message.prefill?.let { directory[it] }
                delegated.granted(from, frame.incarnation, message)
                    ?.let { requests.granted(it, directory[message.server], prefill, message.tokensAhead) }
            }

            is PlacementMessage.Released -> {
                remote.released(from, message)
                directory[message.server]?.let {
                    // Reports are batched, and meanwhile other calls would be sent to the full server.
                    if (message.rejected) placement.health(it).rejected(out.now)
                    requests.place(it.service)
                }
            }

            is PlacementMessage.Refused ->
                delegated.take(from, message)?.let { requests.refused(it, Refusal.of(message)) }

            is PlacementMessage.Declined -> {
                coordinators.suspect(from)
                delegated.take(from, message)?.let { requests.place(it.service.id) }
            }
        }
    }

    private fun placeForPeer(frame: PeerFrame, message: PlacementMessage.Request) {
        val peer = peers[frame.sender]?.member?.takeIf { it.incarnation == frame.incarnation } ?: return
        val service = configuration.service(message.service)
        if (service == null || !ready) {
            send(peer, PlacementMessage.Declined(message.number))
        } else {
            val version =
                message.version
                    ?: message.stream?.let {
                        streams.versionOf(it, service.id, configuration.hasOneService(message.route))
                    }
            val request = RemoteRequest(peer, message, service, out.now, version)
            val isServerMissing = version != null && placement.rules.waitForRules(request.need) > Duration.ZERO
            val refusal = when {
                isServerMissing || (version == null && message.stream != null) ->
                    Refusal(Duration.ZERO, RefusalReason.STREAM)

                else -> quotas.confirm(frame.incarnation, message)?.let { Refusal(it, RefusalReason.QUOTA) }
            }
            if (refusal == null) {
                requests.accept(request)
            } else {
                send(peer, refusal.toMessage(message.number))
            }
        }
    }

    private fun send(to: Member, message: PeerMessage): Unit = gossip.send(to, message)

    private fun answerStateRequest(frame: PeerFrame, request: PeerMessage.StateRequest) {
        val peer = peers.all.firstOrNull { it.member.incarnation == frame.incarnation } ?: return
        exchange.answer(request).forEach { gossip.send(peer.member, it) }
    }

    private fun applySharedState(frame: PeerFrame, message: PeerMessage.SharedState) {
        val next = exchange.received(message, frame.sender) ?: return
        peers[frame.sender]?.let { gossip.send(it.member, next) }
    }

    private fun toleratedCold(server: Backend): Double =
        configuration.service(server.service)?.coldRequestsPerSecond ?: 0.0

    /** Whether this host places the requests of the fleet. */
    private val isPlacer: Boolean get() = isAvailable && coordinators.placer(true) == null

    private fun updateReady() {
        val next = state.complete && !drain.active
        if (next == ready) return
        ready = next
        out.log(
            LogEvent.READY_CHANGED,
            "ready" to ready,
            "configuration" to configuration.current?.version,
            "directory" to directory.position.offset,
        )
        out.emit(RoutingEffect.ReadyChanged(ready))
        // The other hosts must not wait for answers of a host that stops.
        summaries.sendWithin(Duration.ZERO)
        gossip.sendWithin(RoutingTimes.GOSSIP_DELAY)
    }

    private inner class StateSink : StateFollower.Sink {
        override fun configurationChanged(configuration: RoutingConfiguration) {
            quotas.configure(configuration.organisations)
            weights.configure(configuration.organisations)
            idleConnections.changed()
            out.emit(RoutingEffect.LimitsChanged(configuration.limits))
            out.emit(RoutingEffect.HeadRulesChanged(HeadRules(configuration)))
            summaries.sendWithin(Duration.ZERO)
            requests.placeAll()
        }

        override fun usageRead(usage: List<RecordedUsage>) = quotas.restore(usage)

        override fun recordsRead(entries: List<StoredEntry>) = versions.restore(entries)

        override fun storeRestored() {
            usageWriter.storeRestored()
            versions.storeRestored()
        }

        override fun evacuationsChanged() {
            gossip.sendWithin(RoutingTimes.GOSSIP_DELAY)
            summaries.sendWithin(Duration.ZERO)
            requests.placeAll()
        }

        override fun serversChanged() {
            versions.update()
            placement.retainKnownServers()
            coldServers.retain(directory.all.mapTo(HashSet()) { it.id })
            idleConnections.changed()
            summaries.sendWithin(Duration.ZERO)
            requests.placeAll()
        }
    }

    private companion object {
        /** Upper limit of the number before the first question to a coordinator. */
        const val MAX_FIRST_NUMBER = 1L shl 40
    }
}
