package io.anvilvalve.bench.slopes

import arrow.core.right
import io.anvilvalve.api.BinaryCodec
import io.anvilvalve.api.PoolScope
import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.id.DataCentreId
import io.anvilvalve.api.id.HostId
import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.id.KeyHash
import io.anvilvalve.api.id.LogOffset
import io.anvilvalve.api.id.ModelId
import io.anvilvalve.api.id.NoteId
import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.id.RegionId
import io.anvilvalve.api.id.ReleaseNumber
import io.anvilvalve.api.log.LogCodec
import io.anvilvalve.api.log.LogRecord
import io.anvilvalve.api.log.Member
import io.anvilvalve.api.peer.PeerFrame
import io.anvilvalve.api.peer.PeerMessage
import io.anvilvalve.api.port.LogPage
import io.anvilvalve.api.port.StoredRecord
import io.anvilvalve.api.release.BackendServer
import io.anvilvalve.api.release.Change
import io.anvilvalve.api.release.Key
import io.anvilvalve.api.release.Model
import io.anvilvalve.api.release.Organisation
import io.anvilvalve.api.release.ReleaseNote
import io.anvilvalve.api.release.Role
import io.anvilvalve.core.HostConfig
import io.anvilvalve.core.HostEffect
import io.anvilvalve.core.HostEvent
import io.anvilvalve.core.HostReducer
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Runs the reducer of one host in a fleet of the given size, with the log and the peers simulated in memory. */
internal class ReducerRig(private val size: FleetSize) {
    private val members = List(size.hosts, ::member)
    private val reducer = HostReducer(hostConfig())
    private val log = ArrayList<ByteArray>()
    private var notes = 0L
    private var pendingRead: LogOffset? = null

    var now: Duration = Duration.ZERO
        private set

    /** Encoded bytes of all peer frames so far. */
    var peerBytes = 0L
        private set

    /** Records appended by the host so far. */
    var appends = 0
        private set

    /** Encoded bytes of all records in the log. */
    val logBytes: Long get() = log.sumOf { it.size.toLong() }

    /** Adds all hosts to the log, publishes the first release and runs enough ticks for the host to become current. */
    fun start(): ReducerRig = apply {
        members.forEach { appendRecord(LogRecord.HostJoined(it)) }
        assignSlots()
        firstRelease().chunked(CHANGES_PER_NOTE).forEach(::publish)
        repeat(SETTLE_TICKS) { tick() }
    }

    fun publish(changes: List<Change>) {
        val note = ReleaseNote(NoteId("n$notes"), ReleaseNumber(notes), "bench", changes)
        notes++
        appendRecord(LogRecord.Note(note))
    }

    /** Advances one tick period: answers a pending log read and dispatches a tick, to which the peers reply. */
    fun tick() {
        now += TICK
        pendingRead?.let { from ->
            pendingRead = null
            dispatch(HostEvent.LogRead(now, page(from).right()))
        }
        dispatch(HostEvent.Tick(WALL_CLOCK_START_MILLIS + now.inWholeMilliseconds))
    }

    fun dispatch(event: HostEvent): List<HostEffect> {
        val effects = reducer.reduce(event, now)
        effects.forEach(::perform)
        return effects
    }

    /** Delivers [message] from a peer and counts its bytes, because every message is sent by one of the hosts. */
    fun receive(from: Member, message: PeerMessage): List<HostEffect> {
        val frame = PeerFrame(PeerFrame.VERSION, from.host, from.incarnation, LogOffset(log.size - 1L), message)
        peerBytes += BinaryCodec.encode(PeerFrame.serializer(), frame).size + FRAME_LENGTH_BYTES
        return dispatch(HostEvent.FrameReceived(frame))
    }

    private fun perform(effect: HostEffect) {
        when (effect) {
            is HostEffect.ReadLog -> pendingRead = effect.from

            is HostEffect.AppendToLog -> {
                appends++
                effect.records.forEach(::appendRecord)
            }

            is HostEffect.SendFrame -> {
                peerBytes += BinaryCodec.encode(PeerFrame.serializer(), effect.frame).size + FRAME_LENGTH_BYTES
                replyToProbe(effect)
            }

            else -> Unit
        }
    }

    private fun replyToProbe(sent: HostEffect.SendFrame) {
        val probe = sent.frame.message as? PeerMessage.Probe ?: return
        val reply = PeerMessage.ProbeReply(probe.id, probe.membership, logReadable = true)
        val offset = LogOffset(log.size - 1L)
        dispatch(HostEvent.FrameReceived(PeerFrame(1, sent.to.host, sent.to.incarnation, offset, reply)))
        // Each peer probes this host as often as this host probes the peer.
        dispatch(HostEvent.FrameReceived(PeerFrame(1, sent.to.host, sent.to.incarnation, offset, probe)))
    }

    private fun appendRecord(record: LogRecord) {
        log += LogCodec.encode(record)
    }

    private fun page(from: LogOffset): LogPage {
        val end = minOf(log.size, from.value.toInt() + PAGE_RECORDS)
        val records = (from.value.toInt() until end).map { StoredRecord(LogOffset(it.toLong()), log[it]) }
        return LogPage(LogOffset(0), LogOffset(log.size.toLong()), records)
    }

    private fun assignSlots() {
        members.forEachIndexed { i, member ->
            val own = (0 until slots()).filter { it % members.size == i }
            if (own.isNotEmpty()) appendRecord(LogRecord.SlotsAssigned(own, member.incarnation, own.map { null }))
        }
    }

    private fun hostConfig() = HostConfig(
        self = members.first(),
        seed = 1,
        limitSlots = slots(),
        poolScope = if (size.hosts > LARGE_FLEET_HOSTS) PoolScope.DATA_CENTRE else PoolScope.FLEET,
    )

    private fun slots(): Int = if (size.hosts > LARGE_FLEET_HOSTS) LARGE_FLEET_SLOTS else SMALL_FLEET_SLOTS

    private fun firstRelease(): List<Change> {
        val models = List(size.models) { Change.PutModel(Model(ModelId("model-$it"))) }
        val servers = List(size.servers) { Change.PutBackendServer(server(it)) }
        val organisations = List(size.organisations) {
            Change.PutOrganisation(Organisation(OrganisationId("org-$it"), rate = 1_000_000, burst = 4_000_000))
        }
        val keys = List(size.organisations * KEYS_PER_ORGANISATION) {
            val owner = OrganisationId("org-${it % size.organisations}")
            Change.PutKey(Key(KeyHash.of("key-$it"), owner))
        }
        return models + servers + organisations + keys
    }

    private fun server(index: Int) = BackendServer(
        id = BackendServerId("server-$index"),
        address = "10.${index / SUBNET / SUBNET}.${index / SUBNET % SUBNET}.${index % SUBNET}:8000",
        dataCentre = DataCentreId("dc-${index % DATA_CENTRES}"),
        role = if (index % 2 == 0) Role.PREFILL else Role.DECODE,
        models = listOf(ModelId("model-${index / 2 % size.models}")),
    )

    private fun member(index: Int) = Member(
        host = HostId("host-$index"),
        incarnation = Incarnation("host-$index#1"),
        address = "10.9.${index / SUBNET}.${index % SUBNET}:7000",
        dataCentre = DataCentreId("dc-${index % DATA_CENTRES}"),
        region = RegionId("region-${index % DATA_CENTRES % REGIONS}"),
    )

    companion object {
        val TICK = 50.milliseconds
        const val KEYS_PER_ORGANISATION = 2

        private const val WALL_CLOCK_START_MILLIS = 1_790_000_000_000L
        private const val CHANGES_PER_NOTE = 200
        private const val SETTLE_TICKS = 600
        private const val PAGE_RECORDS = 500
        private const val FRAME_LENGTH_BYTES = 4
        private const val SUBNET = 250
        private const val DATA_CENTRES = 20
        private const val REGIONS = 7
        private const val LARGE_FLEET_HOSTS = 50
        private const val SMALL_FLEET_SLOTS = 64
        private const val LARGE_FLEET_SLOTS = 2_048
    }
}
