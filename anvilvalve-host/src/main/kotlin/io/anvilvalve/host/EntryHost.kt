package io.anvilvalve.host

import io.anvilvalve.api.Reducer
import io.anvilvalve.api.id.DataCentreId
import io.anvilvalve.api.id.HostId
import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.id.KeyHash
import io.anvilvalve.api.id.LogOffset
import io.anvilvalve.api.id.RegionId
import io.anvilvalve.api.id.ReleaseNumber
import io.anvilvalve.api.log.Member
import io.anvilvalve.api.peer.PeerFrame
import io.anvilvalve.api.port.BackendServerClient
import io.anvilvalve.api.port.LiveHostList
import io.anvilvalve.api.port.LogService
import io.anvilvalve.api.result.LogEvent
import io.anvilvalve.core.HostConfig
import io.anvilvalve.core.HostEffect
import io.anvilvalve.core.HostEvent
import io.anvilvalve.core.HostReducer
import io.anvilvalve.core.HostStatus
import io.anvilvalve.net.KtorPeerTransport
import io.anvilvalve.net.PeerTransport
import io.anvilvalve.settings.HostSettings
import io.javalin.Javalin
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import java.nio.file.Files
import java.time.Clock
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds
import kotlin.time.TimeSource

/**
 * One entry host: its listeners, event loop and effect runner. Several hosts can run in one process.
 *
 * @param reducer creates the reducer once the peer port is bound.
 * @param time monotonic time; the reducer receives the time since the start.
 * @param clock wall clock for answers, log lines and the age of idempotency keys.
 */
class EntryHost(
    private val settings: HostSettings,
    private val log: LogService,
    private val liveList: LiveHostList,
    private val backends: BackendServerClient,
    private val peers: PeerTransport = ktorPeers(settings.peers),
    private val time: TimeSource.WithComparableMarks = TimeSource.Monotonic,
    private val clock: Clock = Clock.systemUTC(),
    private val reducer: (HostConfig) -> Reducer<HostEvent, HostEffect> = ::HostReducer,
) : AutoCloseable {
    /** Identity of this run of the host; a restart gets a new one. */
    val incarnation = Incarnation("%s-%x-%04x".format(settings.host.id, clock.millis(), Random.nextInt(SUFFIX_RANGE)))

    private val state = HostState(initialStatus())
    private val table = RequestTable(incarnation)
    private val events = EventLog(settings.host.id, settings.output.format, clock)
    private val refusedPeers = BoundedEvents(events, LogEvent.PEER_REFUSED, time)
    private val reports = LimitReports(events, time)
    private val clientLimits = with(settings.callers) {
        ClientLimits(maxRequests, maxConnections, maxDescriptors, memoryBytes)
    }
    private val budget = clientLimits.budget(time, reports)
    private val callersBounds = ConnectionBounds(clientLimits.maxConnections, reports)
    private val operatorsBounds = ConnectionBounds(MAX_OPERATOR_CONNECTIONS, reports)
    private val sweep = ClientSweep(
        budget,
        listOf(
            ConnectionSweep(callersBounds) { callers.connections() },
            ConnectionSweep(operatorsBounds) { operators.connections() },
        ),
        onError = events::error,
    )
    private val metrics =
        HostMetrics(state, ClientMeasures(reports, budget) { callers.connections().size }) { table.count }
    private val watch = CallerWatch()
    private val scope = CoroutineScope(
        SupervisorJob() + Dispatchers.IO + CoroutineExceptionHandler { _, e -> events.error(e) },
    )

    @Volatile
    private lateinit var loop: HostLoop<HostEvent, HostEffect>
    private lateinit var callers: Javalin
    private lateinit var operators: Javalin

    /** Bound port of the callers' API. */
    val callerPort: Int get() = callers.port()

    /** Bound port of the operators' API. */
    val operatorPort: Int get() = operators.port()

    /** Bound port of the peer protocol. */
    var peerPort: Int = 0
        private set

    /** Status shown to operators. */
    val status: HostStatus get() = state.status

    /** Whether the host accepts new requests. */
    val isReady: Boolean get() = state.acceptsTraffic

    /** Completed when the process may exit; the value is false if the peers removed the host. */
    val exit: CompletableFuture<Boolean> get() = state.exit

    /** Binds the listeners and starts the event loop. */
    fun start() {
        val start = time.markNow()
        peerPort = peers.start(::receive) { refusedPeers.write(mapOf("reason" to it)) }
        lateinit var runner: EffectRunner
        loop = HostLoop(reducer(config()), start, { runner.perform(it) }, events::error, onEnd = ::loopEnded)
        val watcher = ServerWatcher(scope, backends, settings.engines.loadPoll, loop::post)
        runner = EffectRunner(ports(), scope, watcher, loop::now, loop::post)
        runner.start()
        loop.start()
        startListeners()
        sweep.start()
        scope.launch { tick() }
        scope.launch { pollLiveList() }
        events.write(LogEvent.DAEMON_STARTED, mapOf("callers" to "$callerPort", "operators" to "$operatorPort"))
    }

    /** Reports the host as not ready and starts a drain; [exit] completes when the drain has finished. */
    fun drain(deadline: Duration = settings.operators.drainDeadline) {
        state.draining = true
        loop.post(HostEvent.DrainRequested(deadline))
    }

    /**
     * Closes the callers' port after a drain, and waits until the requests that are being read have been refused, at most
     * for [limit].
     */
    fun finishCallers(limit: Duration = FINISH_LIMIT) {
        val closed = callers.stopAccepting()
        callers.connections().forEach { it.closeIfIdle() }
        try {
            closed.get(limit.inWholeMilliseconds, TimeUnit.MILLISECONDS)
        } catch (_: TimeoutException) {
            events.write(LogEvent.DRAIN_DEADLINE_PASSED, mapOf("connections" to "${callers.connections().size}"))
        }
    }

    /** Stops without a drain; the connections of open requests are closed. */
    override fun close() {
        state.draining = true
        sweep.close()
        callers.stop()
        operators.stop()
        watch.close()
        loop.stop()
        scope.cancel()
        peers.close()
        events.write(LogEvent.DAEMON_STOPPED)
    }

    /** Drops frames that arrive before the loop exists or while its queue is full; peers tolerate lost frames. */
    private fun receive(frame: PeerFrame) {
        if (::loop.isInitialized) loop.offer(HostEvent.FrameReceived(frame), MAX_QUEUED_EVENTS)
    }

    private fun startListeners() {
        val info = InfoApi(state, metrics)
        val callersApi = CallersApi(
            settings.callers,
            budget,
            reports,
            table,
            state,
            metrics,
            backends,
            watch,
            time,
            clock,
            loop::post,
        )
        callers = callersListener(settings.callers, callersBounds, callersApi, info, events).start()
        val bodies = BodyReader(MAX_OPERATOR_BODY_BYTES, settings.callers.bodyTimeout, time, budget)
        val token = Files.readString(settings.operators.tokenFile).trim()
        val operatorsApi = OperatorsApi(token, state, bodies, { table.count }, ::withdraw, ::drain)
        val idleTimeout = settings.callers.idleTimeout
        operators =
            operatorsListener(settings.operators, idleTimeout, operatorsBounds, operatorsApi, info, events).start()
    }

    private fun loopEnded(error: Error) {
        exit.completeExceptionally(error)
    }

    private fun withdraw(hash: KeyHash) {
        loop.process(HostEvent.KeyWithdrawn(hash)).get(WITHDRAW_TIMEOUT_SECONDS, TimeUnit.SECONDS)
    }

    private fun ports() = EffectPorts(log, backends, peers, table::get, events, metrics, state)

    private fun config() = HostConfig(
        Member(
            HostId(settings.host.id),
            incarnation,
            "${settings.host.address}:$peerPort",
            DataCentreId(settings.host.dataCentre),
            RegionId(settings.host.region),
        ),
        seed = incarnation.value.hashCode().toLong(),
        limitSlots = settings.peers.limitSlots,
        poolScope = settings.peers.poolScope,
    )

    private suspend fun CoroutineScope.tick() {
        while (isActive) {
            loop.post(HostEvent.Tick(clock.millis()))
            delay(TICK_INTERVAL)
        }
    }

    private suspend fun CoroutineScope.pollLiveList() {
        while (isActive) {
            liveList.hosts().onRight { loop.post(HostEvent.LiveListRead(it)) }
            delay(LIVE_LIST_POLL_INTERVAL)
        }
    }

    private fun initialStatus() = HostStatus(
        HostId(settings.host.id),
        incarnation,
        ReleaseNumber(0),
        LogOffset(-1),
        current = false,
        ready = false,
        draining = false,
        members = emptyList(),
        models = emptyList(),
        running = 0,
    )

    private companion object {
        fun ktorPeers(peers: HostSettings.Peers): PeerTransport {
            val secret = Files.readString(peers.secretFile).trim().toByteArray()
            return KtorPeerTransport(peers.bindAddress, peers.port, secret, peers.sendQueue)
        }

        const val SUFFIX_RANGE = 0x10000
        const val MAX_QUEUED_EVENTS = 10_000
        const val WITHDRAW_TIMEOUT_SECONDS = 5L
        const val MAX_OPERATOR_BODY_BYTES = 4_096

        /** Fewer than the threads of the listener, so that clients that do not read cannot occupy all of them. */
        const val MAX_OPERATOR_CONNECTIONS = 40

        /** Interval documented at [HostEvent.Tick]. */
        val TICK_INTERVAL = 50.milliseconds

        /** All requests have ended before; only callers that send slowly need this time. */
        val FINISH_LIMIT = 2.seconds

        /** A leaving backend server must be detected within the freshness time of 8 s. */
        val LIVE_LIST_POLL_INTERVAL = 2.seconds
    }
}
