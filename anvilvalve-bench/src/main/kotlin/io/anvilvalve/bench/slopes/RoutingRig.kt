package io.anvilvalve.bench.slopes

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.anvilvalve.api.BinaryCodec
import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.id.DataCentreId
import io.anvilvalve.api.id.HostId
import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.id.KeyHash
import io.anvilvalve.api.id.LogOffset
import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.id.RegionId
import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.log.Member
import io.anvilvalve.api.peer.PeerFrame
import io.anvilvalve.api.peer.PeerMessage
import io.anvilvalve.api.routing.Backend
import io.anvilvalve.api.routing.BackendRevision
import io.anvilvalve.api.routing.OrganisationRule
import io.anvilvalve.api.routing.RequestKind
import io.anvilvalve.api.routing.RouteRule
import io.anvilvalve.api.routing.RoutingConfiguration
import io.anvilvalve.api.routing.ServiceId
import io.anvilvalve.api.routing.ServiceSpec
import io.anvilvalve.api.routing.StateDecoder
import io.anvilvalve.api.routing.StatePage
import io.anvilvalve.api.routing.StateTopic
import io.anvilvalve.api.routing.StorePosition
import io.anvilvalve.api.routing.StoredEntry
import io.anvilvalve.api.routing.WeightedTarget
import io.anvilvalve.rules.routing.AttemptResult
import io.anvilvalve.rules.routing.InboundRequest
import io.anvilvalve.rules.routing.RoutingEffect
import io.anvilvalve.rules.routing.RoutingEvent
import io.anvilvalve.rules.routing.RoutingReducer
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Runs the routing reducer of one host at a given size, with the gossip of its peers simulated in memory. */
internal class RoutingRig(peers: Int, organisations: Int, private val servers: Int) {
    private val service = ServiceId("service")
    private val key = KeyHash.of("key-0")
    private val configuration = RoutingConfiguration(
        version = 1,
        routes = listOf(
            RouteRule("r", "h", "/", RequestKind.IDEMPOTENT, 2.seconds, 300.milliseconds, 1, targets = targets()),
        ),
        services = mapOf(service to ServiceSpec(service, maxConnections = 1_000)),
        organisations = (0 until organisations).map { organisation(it) },
    )
    private val reducer = RoutingReducer(member("self"), Decoder())
    private val peerMembers = (0 until peers).map { member("peer-$it") }
    private var now: Duration = 1.seconds
    private var sequence = 0L
    private var requests = 0

    /** Bytes of frames that the host sent, over all peers. */
    var sentBytes = 0L
        private set

    /** Number of frames that the host sent, over all peers. */
    var sentFrames = 0L
        private set

    /** Delivers the configuration, the backend servers and one gossip message of each peer to the host. */
    fun start(): RoutingRig {
        stateRead(StateTopic.CONFIGURATION, listOf(StoredEntry("config", 0, ByteArray(1))))
        stateRead(StateTopic.DIRECTORY, (0 until servers).map { StoredEntry("server-$it", it.toLong(), ByteArray(1)) })
        gossip()
        return this
    }

    /** Delivers one gossip message from every peer. */
    fun gossip() {
        sequence++
        peerMembers.forEach { peer ->
            val message = PeerMessage.Gossip(peer, sequence, emptyList(), 0, 0, emptyList(), emptyList(), emptyList())
            dispatch(
                RoutingEvent.FrameReceived(
                    PeerFrame(PeerFrame.VERSION, peer.host, peer.incarnation, LogOffset(-1), message),
                ),
            )
        }
    }

    /** Runs one second of an idle host: its ticks and the periodic gossip of the peers. */
    fun idleSecond() = repeat(TICKS_PER_SECOND) { tick ->
        now += 1.seconds / TICKS_PER_SECOND
        dispatch(RoutingEvent.Tick)
        if (tick % GOSSIP_TICKS == 0) gossip()
    }

    /** Runs one request to a complete answer and advances the clock by [pause]. */
    fun request(pause: Duration) {
        val id = RequestId("request-${++requests}")
        val arrived = dispatch(RoutingEvent.Arrived(InboundRequest(id, "h", "/p", key)))
        arrived.filterIsInstance<RoutingEffect.Forward>().forEach {
            now += pause / 2
            dispatch(RoutingEvent.AttemptEnded(it.id, it.attempt, AttemptResult.Complete))
        }
        now += pause / 2
    }

    private fun stateRead(topic: StateTopic, entries: List<StoredEntry>): List<RoutingEffect> {
        val end = StorePosition(era = 0, offset = entries.size.toLong())
        return dispatch(RoutingEvent.StateRead(topic, StatePage(entries, end, complete = true).right()))
    }

    private fun dispatch(event: RoutingEvent): List<RoutingEffect> = reducer.reduce(event, now).onEach { effect ->
        if (effect is RoutingEffect.SendFrame) {
            sentFrames++
            // The frame is the same for all peers, so it is encoded once. On the wire, a 4-byte length precedes it.
            if (effect.to == peerMembers.first()) {
                val bytes = BinaryCodec.encode(PeerFrame.serializer(), effect.frame).size + Int.SIZE_BYTES
                sentBytes += bytes.toLong() * peerMembers.size
            }
        }
    }

    private fun targets() = listOf(WeightedTarget(service, 1))

    private fun organisation(index: Int) = OrganisationRule(
        OrganisationId("organisation-$index"),
        setOf(KeyHash.of("key-$index")),
        ratePerSecond = 1.0e6,
        burst = 1.0e6,
    )

    private fun member(name: String) =
        Member(HostId(name), Incarnation("$name-1"), "10.0.0.1:7500", DataCentreId("dc"), RegionId("region"))

    private inner class Decoder : StateDecoder {
        override fun configuration(value: ByteArray): Either<String, RoutingConfiguration> = configuration.right()

        override fun backend(key: String, value: ByteArray): Either<String, Backend> = if (key.startsWith("server-")) {
            Backend(BackendServerId(key), service, "10.0.0.1:80", DataCentreId("dc"), slots = 1_000).right()
        } else {
            "not a backend server entry".left()
        }

        override fun revision(value: ByteArray): Either<String, BackendRevision> =
            BackendRevision(startedAtMillis = 0, heartbeats = 0).right()
    }

    private companion object {
        const val TICKS_PER_SECOND = 40

        /** Peers send gossip every 300 ms while nothing changes. */
        const val GOSSIP_TICKS = 12
    }
}
