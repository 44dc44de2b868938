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
 * All decisions of a host that routes by a configuration in the platform's store.
 *
 * @param seeds peer addresses to try while no other host is known.
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
    private val intake = Intake(out, configuration, quotas, drain, random)
    private val ending = Ending(out, quotas, queues, configuration, random)
    private val requests = Requests(out, placement, loads, retries, queues, ending, balance)
    private val orders = OrderDesk(out, peers, balance, configuration, settings)
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
            attempts = retries.report(queues),
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
            is RoutingEvent.StateRead -> state.read(event.topic, event.result)
            is RoutingEvent.Arrived -> changing { intake.arrived(event.request, requests::accept) }
            is RoutingEvent.CallerGone -> changing { requests.callerGone(event.id) }
            is RoutingEvent.PrefillEnded -> changing { requests.prefillEnded(event.id, event.attempt, event.result) }
            is RoutingEvent.AnswerProgressed -> requests.answerProgressed(event.id, event.attempt, event.events)
            is RoutingEvent.AnswerStarted -> requests.answerStarted(event.id, event.attempt)
            is RoutingEvent.AttemptEnded -> changing { requests.attemptEnded(event.id, event.attempt, event.result) }
            is RoutingEvent.FrameReceived -> message(event.frame)
            is RoutingEvent.FencingTokenAcquired -> orders.fenceTaken(event.number)
            is RoutingEvent.OrderEnded -> orders.orderEnded(event.outcome)
            RoutingEvent.DrainRequested -> drain.start()
            RoutingEvent.Tick -> tick()
        }
    }

    private inline fun changing(action: () -> Unit) {
        val before = loads.changes
        val queued = queues.changes
        action()
        if (loads.changes != before) gossip.changed(RoutingTimes.GOSSIP_GATHER_CALLS)
        if (loads.takeMemoryChanged() || queues.changes != queued) gossip.changed(RoutingTimes.GOSSIP_GATHER)
    }

    private fun tick() {
        gossip.tick()
        state.tick()
        state.peerToAsk()?.let {
            gossip.send(it.member, PeerMessage.StateRequest(configuration.offset, directory.offset))
        }
        usageWriter.tick()
        loads.tick()
        requests.tick()
        if (!drain.active) orders.tick()
        drain.tick(requests.size, onLimit = requests::failAll)
    }

    private fun message(frame: PeerFrame) {
        when (val message = frame.message) {
            is PeerMessage.Gossip -> gossiped(message)
            is PeerMessage.StateRequest -> answer(frame, message)
            is PeerMessage.SharedState -> state.peerState(message)
            else -> out.log(LogEvent.PEER_REFUSED, "peer" to frame.sender, "reason" to "unexpected message")
        }
    }

    private fun gossiped(message: PeerMessage.Gossip) = changing {
        val peer = peers.heard(message) ?: return@changing
        val last = peer.last
        peer.last = message
        quotas.reported(message, last)
        retries.reported(message.attempts, last?.attempts.orEmpty())
        loads.reported(message.member.host, message.loads)
        requests.placeAll()
    }

    private fun answer(frame: PeerFrame, request: PeerMessage.StateRequest) {
        val peer = peers.all.firstOrNull { it.member.incarnation == frame.incarnation } ?: return
        val newer = configuration.entry?.takeIf { it.offset > request.configuration }
        val entries = if (directory.offset > request.directory) directory.entries.toList() else emptyList()
        if (newer == null && entries.isEmpty()) return
        val known = if (entries.isEmpty()) -1 else directory.offset
        gossip.send(peer.member, PeerMessage.SharedState(newer, entries, known))
    }

    private inner class ServerReports : Placement.Reports {
        override fun isChanging(server: BackendServerId): Boolean =
            server in balance.changing || peers.all.any { peers.isHeard(it) && server in it.last?.changing.orEmpty() }

        override fun isUnreachableForPeer(server: BackendServerId): Boolean =
            peers.all.any { peers.isHeard(it) && server in it.last?.unreachable.orEmpty() }
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
        override fun configured(configuration: RoutingConfiguration) {
            quotas.configure(configuration.organisations)
            out.emit(RoutingEffect.LimitsChanged(configuration.limits))
            requests.placeAll()
        }

        override fun usageRead(usage: List<RecordedUsage>) = quotas.restore(usage)

        override fun serversChanged() {
            placement.retain()
            requests.placeAll()
        }
    }
}
