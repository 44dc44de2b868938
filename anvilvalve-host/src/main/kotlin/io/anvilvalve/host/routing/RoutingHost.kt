package io.anvilvalve.host.routing

import io.anvilvalve.api.BinaryCodec
import io.anvilvalve.api.id.DataCentreId
import io.anvilvalve.api.id.HostId
import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.id.RegionId
import io.anvilvalve.api.log.Member
import io.anvilvalve.api.result.LogEvent
import io.anvilvalve.api.routing.IngressLimits
import io.anvilvalve.api.routing.StateDecoder
import io.anvilvalve.api.routing.StateStore
import io.anvilvalve.api.routing.StateTopic
import io.anvilvalve.host.BodyReader
import io.anvilvalve.host.BoundedEvents
import io.anvilvalve.host.CallerWatch
import io.anvilvalve.host.ClientLimits
import io.anvilvalve.host.ClientMeasures
import io.anvilvalve.host.ClientSweep
import io.anvilvalve.host.ConnectionBounds
import io.anvilvalve.host.ConnectionSweep
import io.anvilvalve.host.EventLog
import io.anvilvalve.host.HostLoop
import io.anvilvalve.host.LimitReports
import io.anvilvalve.host.connections
import io.anvilvalve.host.stopAccepting
import io.anvilvalve.net.KtorPeerTransport
import io.anvilvalve.net.PeerTransport
import io.anvilvalve.rules.routing.ColdTerms
import io.anvilvalve.rules.routing.EntryLimits
import io.anvilvalve.rules.routing.HeadRules
import io.anvilvalve.rules.routing.QuotaTerms
import io.anvilvalve.rules.routing.RoutingEffect
import io.anvilvalve.rules.routing.RoutingEvent
import io.anvilvalve.rules.routing.RoutingReducer
import io.anvilvalve.rules.routing.RoutingSettings
import io.anvilvalve.settings.RoutingHostSettings
import io.javalin.Javalin
import java.security.MessageDigest
import java.time.Clock
import java.util.concurrent.CompletableFuture
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * A host that routes requests by the configuration in the platform's store.
 *
 * Owns the listeners, the event loop and the components that perform the effects of the rules.
 */
class RoutingHost(
    private val settings: RoutingHostSettings,
    platformStore: StateStore,
    decoder: StateDecoder,
    private val dialect: RoutingDialect,
    private val time: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    clock: Clock = Clock.systemUTC(),
) : AutoCloseable {
    private val start = time.markNow()
    private val incarnation =
        Incarnation("%s-%x-%04x".format(settings.host.id, clock.millis(), Random.nextInt(INCARNATION_SUFFIXES)))
    private val self = Member(
        HostId(settings.host.id),
        incarnation,
        settings.peers.listen.toString(),
        DataCentreId(settings.host.dataCentre),
        RegionId(settings.host.region),
        settings.host.capacity,
    )
    private val events = EventLog(settings.host.id, settings.output.format, clock)
    private val refusedPeers = BoundedEvents(events, LogEvent.PEER_REFUSED, time)
    private val callErrors = BoundedEvents(events, LogEvent.UNEXPECTED_ERROR, time)
    private val store = GuardedStore(platformStore, callErrors::error)
    private val watch = CallerWatch(WATCH_INTERVAL)
    private val reports = LimitReports(events, time)
    private val clientLimits = with(settings) {
        ClientLimits(
            callers.maxRequests,
            callers.maxConnections,
            callers.maxDescriptors - ServerConnections.MAX_IDLE,
            callers.memoryBytes,
        )
    }
    private val budget = clientLimits.budget(time, reports)
    private val peers: PeerTransport = with(settings.peers) {
        KtorPeerTransport(listen.address, listen.port, MessageDigest.getInstance("SHA-256").digest(fleet.toByteArray()))
    }
    private val connections = ServerConnections(CONNECT_TIMEOUT)
    private val upstream = UpstreamClient(connections.calls, dialect)
    private val rules =
        RoutingReducer(self, decoder, routingSettings(), settings.peers.seeds, incarnation.hashCode().toLong())
    private val loop: HostLoop<RoutingEvent, RoutingEffect> =
        HostLoop(rules, start, ::perform, events::error, RoutingEvent.Tick, isBusy = ::isBusy, onEnd = ::loopEnded)
    private val api = RoutingApi(
        dialect,
        upstream,
        watch,
        ::newBodyReader,
        budget,
        reports,
        heads = { headRules },
        isWarm = { warm },
        writeLimit = { limits.idleTimeout },
        settings.callers.maxRequests,
        time,
        loop::post,
        callErrors::error,
    )
    private val releases = HandleReleases(upstream, dialect, loop::post)
    private val orders = OrderSender(connections.calls, store, dialect, settings.host.id, loop::post)
    private val metrics =
        RoutingMetrics(
            { api.inFlightCount },
            { ready },
            ClientMeasures(reports, budget, ::openConnections),
            connections::register,
        )
    private val writer = StateWriter(store, events::write)
    private val reader = StateReader(store, EntryLimits(decoder), ::announce, loop::post)

    /** Null until the host accepts callers; a stop may be requested before. Written under [callersLock]. */
    @Volatile
    private var callers: Javalin? = null
    private val callersLock = Any()
    private var isPortClosed = false
    private lateinit var operations: Javalin

    @Volatile
    private var ready = false

    @Volatile
    private var warm = false

    @Volatile
    private var limits = IngressLimits()

    @Volatile
    private var headRules: HeadRules? = null
    private val callersBounds =
        ConnectionBounds(clientLimits.maxConnections, reports) { limits.headerTimeout }
    private val operationsBounds = operationsBounds(reports)
    private val sweep = ClientSweep(
        budget,
        listOf(
            ConnectionSweep(callersBounds) { callers?.connections().orEmpty() },
            ConnectionSweep(operationsBounds) { operations.connections() },
        ),
        onError = events::error,
    )

    /** Completed when the process may exit. */
    val exit = CompletableFuture<Unit>()

    /** Number of requests that are being answered. */
    val openRequests: Int get() = api.inFlightCount

    /** Number of callers' connections. */
    val openConnections: Int get() = callers?.connections().orEmpty().size

    /** Binds the listeners and starts the loop. */
    fun start() {
        peers.start(::receive) { refusedPeers.write(mapOf("reason" to it)) }
        loop.start()
        synchronized(callersLock) {
            // A host that is stopped during its start must not open the port after it has decided to exit.
            if (!isPortClosed) callers = routingListener(settings.callers, callersBounds, api, events, time).start()
        }
        operations = operationsListener(
            settings.operations,
            dialect.readinessPath,
            { ready && warm },
            operationsBounds,
            metrics,
            events,
        ).start()
        sweep.start()
        connections.start()
        reader.start()
        events.write(
            LogEvent.DAEMON_STARTED,
            mapOf(
                "incarnation" to incarnation.value,
                "callers" to "${settings.callers.listen}",
            ),
        )
        // Its calls do not count as calls to backend servers.
        ServerConnections(CONNECT_TIMEOUT).use { WarmUp(it.calls, settings.callers.listen).run() }
        warm = true
    }

    /** Turns readiness off and lets the requests in flight end; [exit] completes when the process may exit. */
    fun drain() = loop.post(RoutingEvent.DrainRequested(announced = ready && warm))

    override fun close() {
        sweep.close()
        reader.close()
        orders.close()
        releases.close()
        writer.close()
        callers?.stop()
        operations.stop()
        watch.close()
        loop.stop()
        connections.close()
        peers.close()
        events.write(LogEvent.DAEMON_STOPPED)
    }

    private fun routingSettings() = with(settings.fleet) {
        RoutingSettings(
            retryRatio = retryRatio,
            retryExtra = retryExtra.toDouble(),
            retryWindow = retryWindow,
            quota = QuotaTerms(quotaWindow, quotaOvershoot, quotaSlack.toDouble()),
            drainLimit = drainLimit,
            prefillShare = prefillShare,
            orderLease = orderLease + ORDER_LEASE_MARGIN,
            cold = ColdTerms(coldOvershoot, coldSlack),
            regions = settings.regions.entries.associate { (key, value) -> DataCentreId(key) to RegionId(value) },
        )
    }

    /** Drops frames while too many are queued, because the next gossip message replaces a lost one. */
    private fun receive(frame: io.anvilvalve.api.peer.PeerFrame) {
        loop.offer(RoutingEvent.FrameReceived(frame), MAX_QUEUED_FRAMES)
    }

    /** Called by the thread of the event loop. */
    private fun isBusy() = api.inFlightCount > 0 || rules.isMessagePending

    private fun announce() = store.put(StateTopic.HOSTS, self.host.value, BinaryCodec.encode(Member.serializer(), self))

    private fun loopEnded(error: Error) {
        exit.completeExceptionally(error)
    }

    private fun newBodyReader() = BodyReader(limits.maxBodyBytes, BODY_TIMEOUT, time, budget)

    private fun perform(effect: RoutingEffect) {
        when (effect) {
            is RoutingEffect.OnRequest -> api.perform(effect)
            is RoutingEffect.SendFrame -> peers.send(effect.to, effect.frame)
            is RoutingEffect.ResetPeer -> peers.reset(effect.to)
            is RoutingEffect.ReleaseHandle -> releases.submit(effect.source)
            is RoutingEffect.LimitsChanged -> applyLimits(effect.limits)
            is RoutingEffect.HeadRulesChanged -> headRules = effect.rules
            is RoutingEffect.ReadyChanged -> ready = effect.ready
            RoutingEffect.Draining -> api.draining = true
            is RoutingEffect.CloseConnections -> closeConnections(effect)
            is RoutingEffect.KeepConnections -> connections.perform(effect)
            is RoutingEffect.AcquireFencingToken -> orders.acquireFencingToken()
            is RoutingEffect.SendOrder -> orders.submit(effect)
            is RoutingEffect.PutState -> writer.put(effect)
            is RoutingEffect.FollowStore -> reader.follow(effect.active, effect.wait)
            RoutingEffect.ReadHosts -> reader.readHosts()
            is RoutingEffect.CorrectHosts -> reader.correctHosts(effect)
            RoutingEffect.AnnounceHost -> reader.announceHost()
            is RoutingEffect.Log -> log(effect)
            is RoutingEffect.Measure -> metrics.record(effect.summary)
            RoutingEffect.Exit -> exit.complete(Unit)
        }
    }

    private fun log(effect: RoutingEffect.Log) {
        metrics.record(effect.event)
        events.write(effect.event, effect.fields)
    }

    private fun applyLimits(next: IngressLimits) {
        limits = next
        callers?.setIdleTimeout(next.idleTimeout)
    }

    private fun closeConnections(effect: RoutingEffect.CloseConnections) {
        if (!effect.accepting) closePort()
        val (closed, open) = callers?.connections().orEmpty().partition { it.closeIfIdle(effect.idleTime) }
        if (closed.isNotEmpty()) {
            val counts = mapOf("closed" to "${closed.size}", "open" to "${open.size}")
            events.write(LogEvent.CONNECTIONS_CLOSED, counts)
        }
        loop.post(RoutingEvent.ConnectionsCounted(open.size, effect.accepting))
    }

    private fun closePort() = synchronized(callersLock) {
        isPortClosed = true
        callers?.stopAccepting()
    }

    private companion object {
        const val INCARNATION_SUFFIXES = 0x10000
        const val MAX_QUEUED_FRAMES = 10_000

        /** Covers the transfer time of an order to its engine. */
        val ORDER_LEASE_MARGIN = 500.milliseconds

        /** Work for a disconnected caller must end within 0.5 s. */
        val WATCH_INTERVAL = 100.milliseconds

        /** Backend servers are at most a few milliseconds away; TCP retransmits a lost packet after 200 ms or more. */
        val CONNECT_TIMEOUT = 500.milliseconds
        val BODY_TIMEOUT = 10.seconds
    }
}
