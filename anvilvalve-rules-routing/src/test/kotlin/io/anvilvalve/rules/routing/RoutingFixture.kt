package io.anvilvalve.rules.routing

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.id.DataCentreId
import io.anvilvalve.api.id.HostId
import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.id.KeyHash
import io.anvilvalve.api.id.LogOffset
import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.id.PromptPartId
import io.anvilvalve.api.id.RegionId
import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.log.Member
import io.anvilvalve.api.peer.PeerFrame
import io.anvilvalve.api.peer.PeerMessage
import io.anvilvalve.api.routing.Backend
import io.anvilvalve.api.routing.BackendRevision
import io.anvilvalve.api.routing.EngineSpec
import io.anvilvalve.api.routing.OrganisationRule
import io.anvilvalve.api.routing.RequestKind
import io.anvilvalve.api.routing.RouteRule
import io.anvilvalve.api.routing.RoutingConfiguration
import io.anvilvalve.api.routing.ServiceId
import io.anvilvalve.api.routing.ServiceSpec
import io.anvilvalve.api.routing.Stage
import io.anvilvalve.api.routing.StateDecoder
import io.anvilvalve.api.routing.StatePage
import io.anvilvalve.api.routing.StateTopic
import io.anvilvalve.api.routing.StoreFault
import io.anvilvalve.api.routing.StorePosition
import io.anvilvalve.api.routing.StoredEntry
import io.anvilvalve.api.routing.WeightedTarget
import java.nio.ByteBuffer
import java.util.IdentityHashMap
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** An entry that a backend server has written with its [heartbeats]. */
internal data class Registration(val backend: Backend, val heartbeats: Long)

/**
 * Decoder whose stored values are indexes into a table of objects, followed by any bytes; a value that is shorter or has an
 * unknown index does not decode.
 *
 * @param bytes size of an encoded value.
 */
internal class TableDecoder(private val bytes: Int = Int.SIZE_BYTES) : StateDecoder {
    private val objects = ArrayList<Any>()
    private val indexes = IdentityHashMap<Any, Int>()

    fun encode(value: Any, size: Int = bytes): ByteArray {
        val index = indexes.getOrPut(value) { objects.also { it += value }.lastIndex }
        return ByteBuffer.allocate(size).putInt(index).array()
    }

    private fun decode(value: ByteArray): Any? =
        if (value.size < Int.SIZE_BYTES) null else objects.getOrNull(ByteBuffer.wrap(value).getInt())

    override fun configuration(value: ByteArray): Either<String, RoutingConfiguration> =
        (decode(value) as? RoutingConfiguration)?.right() ?: "no configuration".left()

    override fun shortened(value: ByteArray): Either<String, ByteArray> =
        if (registration(value) == null) "no backend server".left() else value.copyOf(Int.SIZE_BYTES).right()

    override fun evacuatedDataCentre(key: String): DataCentreId? =
        key.takeIf { it.startsWith(EVACUATE) }?.let { DataCentreId(it.removePrefix(EVACUATE)) }

    override fun backend(key: String, value: ByteArray): Either<String, Backend> =
        registration(value)?.backend?.right() ?: "no backend server".left()

    override fun revision(value: ByteArray): Either<String, BackendRevision> =
        registration(value)?.let { BackendRevision(it.backend.startedAtMillis, it.heartbeats).right() }
            ?: "no backend server".left()

    private fun registration(value: ByteArray): Registration? = when (val entry = decode(value)) {
        is Registration -> entry
        is Backend -> Registration(entry, heartbeats = 0)
        else -> null
    }

    companion object {
        /** Prefix of the keys that evacuate a data centre. */
        const val EVACUATE = "evacuate/"
    }
}

internal val organisation = OrganisationId("drawers")
internal val organisationKey = KeyHash.of("drawers-key")
internal val plainService = ServiceId("desk")
internal val modelService = ServiceId("reader")

internal fun member(host: String, start: Int = 1, capacity: Int = Member.STANDARD_CAPACITY) = Member(
    HostId(host),
    Incarnation("$host-$start"),
    "$host:1",
    DataCentreId("dc-1"),
    RegionId("region-1"),
    capacity,
)

internal fun plain(id: String, leaving: Boolean = false, slots: Int = 2, dataCentre: String = "dc-1") =
    Backend(BackendServerId(id), plainService, "$id:80", DataCentreId(dataCentre), slots, leaving)

internal fun engine(
    id: String,
    stage: Stage,
    leaving: Boolean = false,
    dataCentre: String = "dc-1",
    version: String = "",
) = Backend(
    BackendServerId(id),
    modelService,
    "$id:80",
    DataCentreId(dataCentre),
    slots = 8,
    leaving,
    stage,
    version = version,
)

internal fun route(
    path: String,
    kind: RequestKind,
    service: ServiceId,
    maxAttempts: Int = 2,
    open: Boolean = false,
    resumable: Boolean = false,
) = RouteRule(
    name = path.trim('/'),
    host = "maps.example",
    pathPrefix = path,
    kind = kind,
    timeout = if (service == modelService) 14.seconds else 2.seconds,
    objective = if (service == modelService) 900.milliseconds else 300.milliseconds,
    priority = 1,
    targets = listOf(WeightedTarget(service, 1)),
    maxAttempts = maxAttempts,
    open = open,
    resumable = resumable,
)

internal fun configuration(
    version: Long = 1,
    ratePerSecond: Double = 0.0,
    burst: Double = 0.0,
    keys: Set<KeyHash> = setOf(organisationKey),
    memoryTokens: Int = 10_000,
    coldPerSecond: Double = 0.0,
) = RoutingConfiguration(
    version = version,
    routes = listOf(
        route("/drawers/", RequestKind.NON_IDEMPOTENT, plainService, maxAttempts = 1),
        route("/shelves/", RequestKind.IDEMPOTENT, plainService),
        route("/sheets/", RequestKind.STREAM, modelService, maxAttempts = 1),
        route("/deeds/", RequestKind.STREAM, modelService, resumable = true),
        route("/open/", RequestKind.IDEMPOTENT, plainService, open = true),
    ),
    services = listOf(
        ServiceSpec(plainService, maxConnections = 100, coldRequestsPerSecond = coldPerSecond),
        ServiceSpec(
            modelService,
            maxConnections = 100,
            EngineSpec(slots = 8, memoryTokens, 500.milliseconds),
            coldPerSecond,
        ),
    ).associateBy { it.id },
    organisations = listOf(
        OrganisationRule(organisation, keys, null, ratePerSecond, burst, tokensWithoutUsage = 200),
    ),
)

/**
 * The routing rules of one host with a clock that tests advance, a configuration and backend servers.
 *
 * @param backends null if the host cannot read the backend servers from the store.
 */
internal class RoutingFixture(
    val self: Member = member("h1"),
    configuration: RoutingConfiguration = configuration(),
    backends: List<Backend>? = listOf(plain("p1"), plain("p2")),
    settings: RoutingSettings = RoutingSettings(),
    var now: Duration = 1.seconds,
    usage: ByteArray? = null,
    versions: ByteArray? = null,
    private val decoder: TableDecoder = TableDecoder(),
) {
    private val reducer = RoutingReducer(self, decoder, settings, seed = 7)
    private var offset = 0L
    private var era = 0L
    private var last = 0

    /** Effects of all events so far. */
    val effects = ArrayList<RoutingEffect>()

    init {
        val records = mapOf("usage" to usage, ServiceVersions.KEY to versions)
        read(StateTopic.USAGE, records.mapNotNull { (key, value) -> value?.let { StoredEntry(key, offset++, it) } })
        read(StateTopic.CONFIGURATION, listOf(entry("config", configuration)))
        backends?.let { read(StateTopic.DIRECTORY, it.map { backend -> entry(backend.id.value, backend) }) }
    }

    fun entry(key: String, value: Any?) = StoredEntry(key, offset++, value?.let(decoder::encode), era)

    /** Brings the store back from a copy in which the last [lost] records are missing. */
    fun restoreStore(lost: Int) {
        era++
        offset -= lost
    }

    fun read(topic: StateTopic, entries: List<StoredEntry>, complete: Boolean = true): List<RoutingEffect> =
        send(RoutingEvent.StateRead(topic, StatePage(entries, StorePosition(era, offset), complete).right()))

    /** Writes or revokes the evacuation of [dataCentre], which this host reads at once. */
    fun evacuate(dataCentre: String, evacuated: Boolean = true): List<RoutingEffect> {
        val record = entry(TableDecoder.EVACUATE + dataCentre, dataCentre.takeIf { evacuated })
        return read(StateTopic.CONFIGURATION, listOf(record), complete = false)
    }

    fun failStoreReads() = StateTopic.entries.forEach { send(RoutingEvent.StateRead(it, StoreFault("down").left())) }

    fun updateBackend(backend: Backend) =
        read(StateTopic.DIRECTORY, listOf(entry(backend.id.value, backend)), complete = false)

    fun send(event: RoutingEvent): List<RoutingEffect> = reducer.reduce(event, now).also { effects += it }

    /** Advances the clock in steps of one tick. */
    fun advance(time: Duration): List<RoutingEffect> {
        val all = ArrayList<RoutingEffect>()
        val end = now + time
        while (now < end) {
            now += TICK
            all += send(RoutingEvent.Tick)
        }
        return all
    }

    fun arrive(
        path: String,
        promptTokens: Int? = null,
        outputTokens: Int = 0,
        key: KeyHash? = organisationKey,
        deadline: Duration? = null,
        host: String = "maps.example",
        parts: List<String> = emptyList(),
        attemptId: String? = null,
        resumption: Resumption? = null,
    ): Arrival {
        val id = RequestId("r${++last}")
        val request = InboundRequest(
            id,
            host,
            path,
            key,
            deadline,
            promptTokens,
            outputTokens,
            sharedParts = parts.map(::PromptPartId),
            attemptId = attemptId,
            resumption = resumption,
        )
        return Arrival(id, send(RoutingEvent.Arrived(request)))
    }

    fun endAttempt(forward: RoutingEffect.Forward, result: AttemptResult) =
        send(RoutingEvent.AttemptEnded(forward.id, forward.attempt, result))

    fun receive(from: Member, message: PeerMessage): List<RoutingEffect> = send(
        RoutingEvent.FrameReceived(
            PeerFrame(PeerFrame.VERSION, from.host, from.incarnation, LogOffset(-1), message),
        ),
    )

    /** A request and the effects of its arrival. */
    class Arrival(val id: RequestId, val effects: List<RoutingEffect>) {
        val forward: RoutingEffect.Forward get() = effects.filterIsInstance<RoutingEffect.Forward>().single()
        val prefill: RoutingEffect.Prefill get() = effects.filterIsInstance<RoutingEffect.Prefill>().single()
        val refusal: RoutingEffect.Refuse get() = effects.filterIsInstance<RoutingEffect.Refuse>().single()
        val isQueued: Boolean get() = effects.none { it is RoutingEffect.OnRequest }
    }

    private companion object {
        val TICK = 25.milliseconds
    }
}

internal inline fun <reified T> List<RoutingEffect>.only(): T = filterIsInstance<T>().single()

internal inline fun <reified T> List<RoutingEffect>.none(): Boolean = none { it is T }
