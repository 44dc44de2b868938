package io.anvilvalve.rules.routing

import arrow.core.getOrElse
import arrow.core.right
import io.anvilvalve.api.BinaryCodec
import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.log.Member
import io.anvilvalve.api.peer.PeerFrame
import io.anvilvalve.api.peer.PeerMessage
import io.anvilvalve.api.result.LogEvent
import io.anvilvalve.api.routing.Backend
import io.anvilvalve.api.routing.RoutingConfiguration
import io.anvilvalve.api.routing.StatePage
import io.anvilvalve.api.routing.StateTopic
import io.anvilvalve.api.routing.StorePosition
import io.anvilvalve.api.routing.StoredEntry
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * A fleet of [size] hosts in virtual time with a store, backend servers that refuse calls beyond slots and queue, and a
 * network that delivers every message in the next step. Hosts can be killed, frozen and cut off from the store, and the
 * store can come back from an older copy.
 */
internal class FleetSimulation(
    size: Int,
    private val configuration: RoutingConfiguration = configuration(),
    private val backends: List<Backend> = listOf(plain("p1"), plain("p2")),
    seed: Long = 1,
    private val serverQueue: Int = QUEUE,
    private val callMillis: Int = MIN_CALL_MILLIS,
    entryBytes: Int = Int.SIZE_BYTES,
) {
    /** One host of the fleet. */
    inner class Host(var fixture: RoutingFixture) {
        val name: String get() = fixture.self.host.value
        var isAlive = true
        var isFrozen = false
        var readsStore = true

        /** Time by which this host handles messages late. */
        var lag = Duration.ZERO

        /** Messages pass only between hosts on the same side of a cut. */
        var side = 0
        var followsStore = true

        /** Era in which this host last read all entries of the backend servers; null before the first time. */
        var readEra: Long? = 0

        /** Versions of the configuration in the order in which this incarnation applied them. */
        val versions = ArrayList<Long>()
        var framesSent = 0
        var bytesSent = 0L
        val received = ArrayDeque<Received>()
    }

    /** A message that a host handles at [at] or later. */
    class Received(val at: Duration, val handle: () -> List<RoutingEffect>)

    private class Running(
        val host: Host,
        val ends: Duration,
        val event: () -> RoutingEvent,
        val server: BackendServerId?,
    )

    private val random = Random(seed)
    private val decoder = TableDecoder(entryBytes)
    private val running = ArrayList<Running>()
    private val occupied = HashMap<BackendServerId, Int>()
    private val arrivedAt = HashMap<Pair<Host, RequestId>, Duration>()
    private val calls = HashMap<Pair<Host, BackendServerId>, Int>()
    private var offset = 1L + backends.size
    private var era = 0L

    /** Versions in the store, oldest first. */
    private val stored = ArrayList<RoutingConfiguration>()

    /** Entries of hosts by name, with the number of the write. */
    private val hostsInStore = LinkedHashMap<String, Pair<Member, Long>>()
    private val everInStore = LinkedHashMap<String, Pair<Member, Long>>()
    private var hostWrites = 0L
    private val records = HashMap<String, ByteArray>()

    /** Entries that backend servers have written since the start, oldest first. */
    private val heartbeats = ArrayList<StoredEntry>()

    /** Newest record of each data centre that was evacuated; a null value revokes the evacuation. */
    private val evacuations = LinkedHashMap<String, StoredEntry>()

    var now: Duration = 1.seconds
        private set

    /** Whether messages are lost. */
    var loses: (PeerMessage) -> Boolean = { false }

    /** Whether messages from the first host to the second are lost. */
    var cut: (Member, Member) -> Boolean = { _, _ -> false }

    val hosts: List<Host> = (1..size).map { Host(start("h%02d".format(it), incarnation = 1)) }

    /** Times from the arrival of a request to its first call to a backend server. */
    val placementTimes = ArrayList<Duration>()

    /** Ids of the servers to which calls were sent. */
    val sentTo = HashSet<String>()

    /** Versions of the servers to which the attempts with an id were sent. */
    val versionsOf = HashMap<String, MutableList<String>>()
    private val attemptIds = HashMap<Pair<Host, RequestId>, String>()

    /** Times at which calls and prompts were sent, by server. */
    val sentAt = HashMap<String, MutableList<Duration>>()
    var rejected = 0
        private set
    var refused = 0
        private set
    var forwarded = 0
        private set

    /** Messages that were larger than a frame may be, and were not sent. */
    var oversized = 0
        private set

    init {
        hosts.forEach { writeEntry(it.fixture.self) }
        hosts.forEach(::readHosts)
    }

    /** Names of the hosts that have an entry in the store. */
    val announced: Set<String> get() = hostsInStore.keys

    val coordinator: Host get() = hosts.first { it.isAlive && !it.isFrozen }

    /** Advances the time; [arrivals] requests a second arrive at random hosts that are alive. */
    fun run(time: Duration, arrivals: Int = 0, path: String = "/drawers/1", cost: Int = 0) {
        val end = now + time
        while (now < end) {
            now += STEP
            hosts.forEach { it.fixture.now = now }
            deliver()
            endCalls()
            if (random.nextInt(STEPS_PER_SECOND) < arrivals) arrive(randomHost(), path, cost = cost)
            if (now.inWholeMilliseconds % TICK_MILLIS == 0L) tick()
        }
    }

    fun arrive(host: Host, path: String, attemptId: String? = null, resumption: Resumption? = null, cost: Int = 0) {
        val arrival =
            host.fixture.arrive(path, cost, outputTokens = 0, attemptId = attemptId, resumption = resumption)
        attemptId?.let { attemptIds[host to arrival.id] = it }
        arrivedAt[host to arrival.id] = now
        perform(host, arrival.effects)
    }

    /** Ends the process of [host]; its connections are closed. */
    fun kill(host: Host) {
        host.isAlive = false
        host.received.clear()
        running.filter { it.host === host }.forEach { call -> call.server?.let { occupied.merge(it, -1, Int::plus) } }
        running.removeAll { it.host === host }
    }

    /** Starts the process of [host] again. */
    fun restart(host: Host) {
        host.fixture = start(host.name, incarnation = 2)
        host.isAlive = true
        host.followsStore = true
        host.versions.clear()
        if (host.readsStore) writeEntry(host.fixture.self)
        hosts.filter { it.isAlive }.forEach(::readHosts)
    }

    /** Writes a new configuration to the store. */
    fun publish(next: RoutingConfiguration) {
        offset++
        stored += next
    }

    /** Writes the entry of [backend] again. */
    fun write(backend: Backend) {
        heartbeats += StoredEntry(backend.id.value, offset++, decoder.encode(backend), era)
    }

    /** Adds an entry of [bytes] to the backend servers that no host can decode. */
    fun writeForeign(key: String, bytes: Int) {
        heartbeats += StoredEntry(key, offset++, ByteArray(bytes) { -1 }, era)
    }

    /** Writes or revokes the evacuation of [dataCentre]. */
    fun evacuate(dataCentre: String, evacuated: Boolean = true) {
        val key = TableDecoder.EVACUATE + dataCentre
        evacuations[dataCentre] = StoredEntry(key, offset++, byteArrayOf(1).takeIf { evacuated }, era)
    }

    /**
     * Brings the store back from a copy without its last [versions] and without the entries of [lostHosts]; returns the
     * versions that are lost, oldest first.
     */
    fun restoreStore(versions: Int, lostHosts: Set<String> = emptySet()): List<RoutingConfiguration> {
        val lost = stored.takeLast(versions)
        era++
        offset -= lost.size
        repeat(lost.size) { stored.removeLast() }
        lostHosts.forEach(hostsInStore::remove)
        return lost
    }

    /** Calls that all hosts have sent to [server]. */
    fun callsAt(server: BackendServerId): Int = calls.filterKeys { it.second == server }.values.sum()

    /** Calls that [host] has sent to [server]. */
    fun callsOf(host: Host, server: BackendServerId): Int = calls[host to server] ?: 0

    private fun start(name: String, incarnation: Int): RoutingFixture {
        val number = name.drop(1).toInt()
        return RoutingFixture(
            member(name, incarnation, capacity = if (number <= LARGE_HOSTS) LARGE else SMALL),
            configuration,
            backends,
            now = now,
            usage = records["near-quota"],
            versions = records[ServiceVersions.KEY],
            decoder = decoder,
        )
    }

    private fun readHosts(host: Host) {
        if (!host.readsStore) return
        val entries = hostsInStore.map { (name, entry) ->
            StoredEntry(name, entry.second, BinaryCodec.encode(Member.serializer(), entry.first), era)
        }
        read(host, StateTopic.HOSTS, entries, complete = true)
    }

    private fun writeEntry(member: Member) {
        hostsInStore[member.host.value] = member to ++hostWrites
        everInStore[member.host.value] = member to hostWrites
    }

    private fun correctHosts(host: Host, effect: RoutingEffect.CorrectHosts) {
        if (!host.readsStore) return
        effect.missing.forEach(::writeEntry)
        effect.gone.forEach { hostsInStore.remove(it.value) }
        readHosts(host)
    }

    /** Brings the store back from a copy in which all hosts that ever had an entry have one. */
    fun restoreRemovedHosts() {
        era++
        hostsInStore.putAll(everInStore)
    }

    /** Adds the entries of [count] hosts that the running hosts have known and that are gone for good. */
    fun addReplacedHosts(count: Int) {
        repeat(count) { writeEntry(member("replaced-%04d".format(it), capacity = SMALL)) }
        hosts.filter { it.isAlive }.forEach(::readHosts)
    }

    private fun tick() {
        for (host in hosts.filter { it.isAlive && !it.isFrozen }) {
            if (host.readsStore && host.followsStore) readStore(host)
            perform(host, host.fixture.send(RoutingEvent.Tick))
        }
    }

    private fun readStore(host: Host) {
        val version = stored.lastOrNull()?.let { StoredEntry("config", offset - 1, decoder.encode(it), era) }
        read(host, StateTopic.CONFIGURATION, listOfNotNull(version) + evacuations.values)
        val complete = host.readEra != era
        host.readEra = era
        val entries = if (complete) {
            backends.mapIndexed { index, it -> StoredEntry(it.id.value, index + 1L, decoder.encode(it), era) } +
                heartbeats
        } else {
            heartbeats.toList()
        }
        read(host, StateTopic.DIRECTORY, entries, complete)
    }

    private fun read(host: Host, topic: StateTopic, entries: List<StoredEntry>, complete: Boolean = false) {
        val page = StatePage(entries, StorePosition(era, offset), complete)
        perform(host, host.fixture.send(RoutingEvent.StateRead(topic, page.right())))
    }

    private fun deliver() {
        for (host in hosts.filter { it.isAlive && !it.isFrozen }) {
            val due = host.received.takeWhile { it.at + host.lag <= now }
            repeat(due.size) { host.received.removeFirst() }
            due.forEach { perform(host, it.handle()) }
        }
    }

    private fun endCalls() {
        val ended = running.filter { it.ends <= now }
        running.removeAll(ended)
        for (call in ended) {
            call.server?.let { occupied.merge(it, -1, Int::plus) }
            if (!call.host.isFrozen) perform(call.host, call.host.fixture.send(call.event()))
        }
    }

    private fun perform(host: Host, effects: List<RoutingEffect>) {
        for (effect in effects) {
            when (effect) {
                is RoutingEffect.SendFrame -> send(host, effect)
                is RoutingEffect.Forward -> forward(host, effect)
                is RoutingEffect.Prefill -> prefill(host, effect)
                is RoutingEffect.Refuse -> refused++
                is RoutingEffect.FollowStore -> host.followsStore = effect.active
                is RoutingEffect.ReadHosts -> readHosts(host)
                is RoutingEffect.AnnounceHost -> announce(host)
                is RoutingEffect.PutState -> if (host.readsStore) records[effect.key] = effect.value
                is RoutingEffect.CorrectHosts -> correctHosts(host, effect)
                is RoutingEffect.Log -> record(host, effect)
                else -> Unit
            }
        }
        host.fixture.effects.clear()
    }

    private fun announce(host: Host) {
        if (host.readsStore) writeEntry(host.fixture.self)
    }

    private fun record(host: Host, effect: RoutingEffect.Log) {
        if (effect.event != LogEvent.CONFIGURATION_APPLIED) return
        host.versions += effect.fields.getValue("configuration").toLong()
    }

    private fun send(host: Host, effect: RoutingEffect.SendFrame) {
        host.framesSent++
        val to = hosts.firstOrNull { it.isAlive && it.fixture.self == effect.to && it.side == host.side } ?: return
        val from = host.fixture.self
        // Messages pass the codec, so that one that does not survive it is found.
        val bytes = BinaryCodec.encode(PeerFrame.serializer(), effect.frame)
        if (bytes.size > PeerFrame.MAX_BYTES) {
            oversized++
            return
        }
        host.bytesSent += bytes.size
        if (loses(effect.frame.message) || cut(from, effect.to)) return
        val frame = BinaryCodec.decode(PeerFrame.serializer(), bytes).getOrElse { error(it) }
        to.received += Received(now) { to.fixture.receive(from, frame.message) }
    }

    private fun forward(host: Host, effect: RoutingEffect.Forward) {
        arrivedAt.remove(host to effect.id)?.let { placementTimes += now - it }
        val server = effect.server
        attemptIds[host to effect.id]?.let { versionsOf.getOrPut(it) { ArrayList() } += server.version }
        calls.merge(host to server.id, 1, Int::plus)
        recordSend(server)
        if ((occupied[server.id] ?: 0) >= server.slots + serverQueue) {
            rejected++
            val refusal = RoutingEvent.AttemptEnded(effect.id, effect.attempt, AttemptResult.NotExecuted(FULL))
            running += Running(host, now + STEP, { refusal }, server = null)
            return
        }
        forwarded++
        occupied.merge(server.id, 1, Int::plus)
        val time = (callMillis + random.nextInt(callMillis)).milliseconds
        if (effect.expectsStream) {
            val start = RoutingEvent.AnswerStarted(effect.id, effect.attempt)
            running += Running(host, now + STEP, { start }, server = null)
        }
        val end = RoutingEvent.AttemptEnded(effect.id, effect.attempt, AttemptResult.Complete)
        running += Running(host, now + time, { end }, server.id)
    }

    private fun prefill(host: Host, effect: RoutingEffect.Prefill) {
        arrivedAt.remove(host to effect.id)?.let { placementTimes += now - it }
        recordSend(effect.server)
        val end = RoutingEvent.PrefillEnded(effect.id, effect.attempt, PrefillResult.Done("handle-${effect.id.value}"))
        running += Running(host, now + PREFILL_TIME, { end }, server = null)
    }

    private fun recordSend(server: Backend) {
        sentTo += server.id.value
        sentAt.getOrPut(server.id.value) { ArrayList() } += now
    }

    private fun randomHost() = hosts.filter { it.isAlive && !it.isFrozen }.random(random)

    private companion object {
        val STEP = 5.milliseconds
        const val STEPS_PER_SECOND = 200
        const val TICK_MILLIS = 25L
        const val MIN_CALL_MILLIS = 60
        val PREFILL_TIME = 100.milliseconds
        const val FULL = 503

        /** Calls that a server queues beyond its slots. */
        const val QUEUE = 1
        const val LARGE_HOSTS = 5
        const val LARGE = 1_500
        const val SMALL = 270
    }
}
