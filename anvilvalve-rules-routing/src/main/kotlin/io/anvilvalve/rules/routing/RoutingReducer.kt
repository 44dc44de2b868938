package io.anvilvalve.rules.routing

import io.anvilvalve.api.Reducer
import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.log.Member
import io.anvilvalve.api.peer.PeerFrame
import io.anvilvalve.api.peer.PeerMessage
import io.anvilvalve.api.result.LogEvent
import io.anvilvalve.api.routing.RecordedUsage
import io.anvilvalve.api.routing.RoutingConfiguration
import io.anvilvalve.api.routing.StateDecoder
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
    private val directory = Directory(out, decoder)
    private val peers = Peers(self, out)
    private val loads = ServerLoads(out)
    private val balance = StageBalance(out, directory, loads, settings)
    private val placement = Placement(self.dataCentre, out, directory, loads, ServerReports())
    private val quotas = SharedQuotas(out, peers, settings.quota)
    private val retries = SharedRetries(out, peers, settings)
    private val queues = Queues(self, out, placement, peers)
    private val drain = Drain(out, settings.drainLimit)
    private val admission = RequestAdmission(out, configuration, quotas, drain, random)
    private val completion = RequestCompletion(out, quotas, queues, configuration, random)
    private val requests = Requests(out, placement, loads, retries, queues, completion, balance)
    private val orders = OrderDispatcher(out, peers, balance, configuration, settings)
    private val state = StateFollower(out, configuration, directory, peers, StateSink())
    private val usageWriter = UsageWriter(out, peers, quotas)
    private val gossip = Gossip(self, seeds, out, peers) { sequence, heard ->
        PeerMessage.Gossip(
            member = self,
            sequence = sequence,
            heard = heard,
            configuration = configuration.offset,
            directory = directory.offset,
            usage = quotas.usage,
            loads = loads.ownLoads,
            attempts = retries.buildReport(queues),
            changing = balance.changing,
            unreachable = placement.unreachable(),
            settled = quotas.settled,
        )
    }

    private var ready = false

    override fun reduce(event: RoutingEvent, now: Duration): List<RoutingEffect> {
        out.now = now
        handle(event)
        updateReady()
        gossip.flush()
        return out.drain()
    }

    private fun handle(event: RoutingEvent) {
        when (event) {
            is RoutingEvent.StateRead -> state.readCompleted(event.topic, event.result)

            is RoutingEvent.Arrived -> gossipIfChanged { admission.admit(event.request, requests::accept) }

            is RoutingEvent.CallerGone -> gossipIfChanged { requests.callerGone(event.id) }

            is RoutingEvent.PrefillEnded -> gossipIfChanged {
                requests.prefillEnded(event.id, event.attempt, event.result)
            }

            is RoutingEvent.AnswerProgressed -> requests.answerProgressed(event.id, event.attempt, event.events)

            is RoutingEvent.AnswerStarted -> requests.answerStarted(event.id, event.attempt)

            is RoutingEvent.AttemptEnded -> gossipIfChanged {
                requests.attemptEnded(event.id, event.attempt, event.result)
            }

            is RoutingEvent.FrameReceived -> handleFrame(event.frame)

            is RoutingEvent.FencingTokenAcquired -> orders.fencingTokenAcquired(event.number)

            is RoutingEvent.OrderEnded -> orders.orderEnded(event.outcome)

            RoutingEvent.DrainRequested -> drain.start()

            RoutingEvent.Tick -> tick()
        }
    }

    private inline fun gossipIfChanged(action: () -> Unit) {
        val before = loads.changeCount
        val queued = queues.changeCount
        action()
        if (loads.changeCount != before) gossip.sendWithin(RoutingTimes.GOSSIP_CALLS_DELAY)
        if (loads.consumeMemoryChanged() || queues.changeCount != queued) gossip.sendWithin(RoutingTimes.GOSSIP_DELAY)
    }

    private fun tick() {
        gossip.tick()
        state.tick()
        state.selectStatePeer()?.let {
            gossip.send(it.member, PeerMessage.StateRequest(configuration.offset, directory.offset))
        }
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
            is PeerMessage.SharedState -> state.applyPeerState(message)
            else -> out.log(LogEvent.PEER_REFUSED, "peer" to frame.sender, "reason" to "unexpected message type")
        }
    }

    private fun handleGossip(message: PeerMessage.Gossip) = gossipIfChanged {
        val peer = peers.receive(message) ?: return@gossipIfChanged
        val last = peer.lastMessage
        peer.lastMessage = message
        quotas.applyReport(message, last)
        retries.applyReport(message.attempts, last?.attempts.orEmpty())
        loads.applyReport(message.member.host, message.loads)
        requests.placeAll()
    }

    private fun answerStateRequest(frame: PeerFrame, request: PeerMessage.StateRequest) {
        val peer = peers.all.firstOrNull { it.member.incarnation == frame.incarnation } ?: return
        val newer = configuration.entry?.takeIf { it.offset > request.configuration }
        val entries = if (directory.offset > request.directory) directory.entries.toList() else emptyList()
        if (newer == null && entries.isEmpty()) return
        val known = if (entries.isEmpty()) -1 else directory.offset
        gossip.send(peer.member, PeerMessage.SharedState(newer, entries, known))
    }

    private inner class ServerReports : Placement.Reports {
        override fun isChanging(server: BackendServerId): Boolean = server in balance.changing ||
            peers.all.any { peers.isAlive(it) && server in it.lastMessage?.changing.orEmpty() }

        override fun isUnreachableForPeer(server: BackendServerId): Boolean =
            peers.all.any { peers.isAlive(it) && server in it.lastMessage?.unreachable.orEmpty() }
    }

    private fun updateReady() {
        val next = state.complete && !drain.active
        if (next == ready) return
        ready = next
        out.log(
            LogEvent.READY_CHANGED,
            "ready" to ready,
            "configuration" to configuration.current?.version,
            "directory" to directory.offset,
        )
        out.emit(RoutingEffect.ReadyChanged(ready))
    }

    private inner class StateSink : StateFollower.Sink {
        override fun configurationChanged(configuration: RoutingConfiguration) {
            quotas.configure(configuration.organisations)
            out.emit(RoutingEffect.LimitsChanged(configuration.limits))
            requests.placeAll()
        }

        override fun usageRead(usage: List<RecordedUsage>) = quotas.restore(usage)

        override fun serversChanged() {
            placement.retainKnownServers()
            requests.placeAll()
        }
    }
}
