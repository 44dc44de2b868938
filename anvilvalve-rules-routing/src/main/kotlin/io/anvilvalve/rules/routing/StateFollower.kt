package io.anvilvalve.rules.routing

import arrow.core.Either
import io.anvilvalve.api.BinaryCodec
import io.anvilvalve.api.log.Member
import io.anvilvalve.api.peer.FleetSummary
import io.anvilvalve.api.peer.PeerMessage
import io.anvilvalve.api.result.LogEvent
import io.anvilvalve.api.routing.RecordedUsage
import io.anvilvalve.api.routing.RoutingConfiguration
import io.anvilvalve.api.routing.StatePage
import io.anvilvalve.api.routing.StateTopic
import io.anvilvalve.api.routing.StoreFault
import io.anvilvalve.api.routing.StorePosition
import io.anvilvalve.api.routing.StoredEntry
import kotlinx.serialization.builtins.ListSerializer
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Applies the state in the store, read from the store itself or from peers while the store does not answer this host.
 */
internal class StateFollower(
    private val out: Outbox,
    private val configuration: ConfigurationState,
    private val directory: Directory,
    private val peers: Peers,
    private val sink: Sink,
) {
    /** Receives the changes of the state. */
    interface Sink {
        fun configurationChanged(configuration: RoutingConfiguration)

        fun serversChanged()

        fun usageRead(usage: List<RecordedUsage>)
    }

    private class ReadStatus {
        var readAt: Duration? = null
        var lostAt: Duration? = null
        var regainedAt: Duration? = null
    }

    private val readStatuses = StateTopic.entries.associateWith { ReadStatus() }
    private var era: Long? = null
    private var restoredAt: Duration? = null
    private var requestedAt: Duration? = null
    private var requestedOffsets: Pair<Long, Long>? = null

    /** Whether this host has the state that it needs to serve. */
    val complete: Boolean get() = configuration.current != null && directory.position != StorePosition.NONE

    fun readCompleted(topic: StateTopic, result: Either<StoreFault, StatePage>) {
        result.fold({ markLost(topic, it) }, { applyPage(topic, it) })
    }

    fun applyPeerState(state: PeerMessage.SharedState) {
        state.configuration?.let { applyConfiguration(it, "peer") }
        val entries = state.backends
        if (state.directory > directory.position.offset) {
            out.log(LogEvent.PEER_STATE_APPLIED, "directory" to state.directory, "before" to directory.position.offset)
            if (directory.apply(
                    entries,
                    complete = true,
                    StorePosition(0, state.directory),
                    removalGrace(),
                )
            ) {
                sink.serversChanged()
            }
        }
    }

    /**
     * Selects a peer with newer state to request it from while the store cannot be read; null if there is none or a
     * request was made recently.
     */
    fun selectStatePeer(): Peers.Peer? {
        if (requestedAt?.let { out.now - it < RoutingTimes.STATE_REQUEST_INTERVAL } == true) return null
        val staleConfiguration = isStale(StateTopic.CONFIGURATION)
        val staleDirectory = isStale(StateTopic.DIRECTORY)
        if (!staleConfiguration && !staleDirectory) return null
        val known = peers.all.filter(peers::isAlive).filter { peer ->
            val last = peer.lastMessage
            last != null && (last.configuration > configuration.offset || last.directory > directory.position.offset)
        }
        return known.maxByOrNull { it.lastMessage?.directory ?: -1 }?.also { requestedAt = out.now }
    }

    /** Whether the state that [summary] names is newer than this host's and has not just been requested. */
    fun shouldRequest(summary: FleetSummary): Boolean {
        val offsets = summary.configuration to summary.directory
        if (offsets.first <= configuration.offset && offsets.second <= directory.position.offset) return false
        val isRepeated = requestedOffsets == offsets && requestedAt?.let { out.now - it < REQUEST_TIMEOUT } == true
        if (isRepeated) return false
        requestedOffsets = offsets
        requestedAt = out.now
        return true
    }

    /** Time since configuration and directory were both read from the store; infinite if one never was. */
    val storeAge: Duration
        get() = maxOf(readAge(StateTopic.CONFIGURATION), readAge(StateTopic.DIRECTORY))

    fun tick() {
        if (directory.tick()) sink.serversChanged()
    }

    private fun applyPage(topic: StateTopic, page: StatePage) {
        markRegained(topic)
        noteEra(topic, page)
        when (topic) {
            StateTopic.CONFIGURATION -> page.entries.forEach { applyConfiguration(it, "store") }

            StateTopic.DIRECTORY -> {
                val changed = directory.apply(page.entries, page.complete, page.next, removalGrace())
                if (changed) sink.serversChanged()
            }

            StateTopic.HOSTS -> applyHosts(page.entries)

            StateTopic.USAGE -> page.entries.forEach(::applyUsage)
        }
    }

    private fun noteEra(topic: StateTopic, page: StatePage) {
        val before = era
        if (before != null && page.next.era <= before) return
        era = page.next.era
        if (before == null) return
        restoredAt = out.now
        out.log(
            LogEvent.STORE_RESTORED,
            "era" to page.next.era,
            "before" to before,
            "topic" to topic,
            "end" to page.next.offset,
            "configuration" to configuration.current?.version,
            "configuration_offset" to configuration.offset,
            "directory" to directory.position.offset,
        )
    }

    private fun applyConfiguration(entry: StoredEntry, source: String) {
        when (val update = configuration.update(entry)) {
            is ConfigurationState.Update.Stale -> Unit

            is ConfigurationState.Update.Invalid ->
                out.log(LogEvent.CONFIGURATION_UNREADABLE, "offset" to entry.offset, "reason" to update.reason)

            is ConfigurationState.Update.Applied -> {
                out.log(
                    LogEvent.CONFIGURATION_APPLIED,
                    "configuration" to update.configuration.version,
                    "offset" to entry.offset,
                    "era" to entry.era,
                    "from" to source,
                    "routes" to update.configuration.routes.size,
                )
                sink.configurationChanged(update.configuration)
            }
        }
    }

    /** Logs one line for all hosts, because at a start every host reads the entries of the whole fleet. */
    private fun applyHosts(entries: List<StoredEntry>) {
        val joined = entries.mapNotNull(::decodeMember).filter(peers::register)
        if (joined.isEmpty()) return
        val names = joined.take(MAX_LOGGED_MEMBERS).joinToString { it.incarnation.value }
        out.log(LogEvent.MEMBER_JOINED, "members" to joined.size, "first" to names, "from" to "store")
    }

    private fun decodeMember(entry: StoredEntry): Member? = entry.value?.let { value ->
        BinaryCodec.decode(Member.serializer(), value)
            .onLeft { out.log(LogEvent.ENTRY_UNREADABLE, "host" to entry.key, "reason" to it) }
            .getOrNull()
    }

    private fun applyUsage(entry: StoredEntry) {
        val value = entry.value ?: return
        BinaryCodec.decode(ListSerializer(RecordedUsage.serializer()), value).fold(
            { out.log(LogEvent.ENTRY_UNREADABLE, "usage" to entry.key, "reason" to it) },
            sink::usageRead,
        )
    }

    private fun markLost(topic: StateTopic, fault: StoreFault) {
        val status = readStatuses.getValue(topic)
        if (status.lostAt != null) return
        status.lostAt = out.now
        out.log(LogEvent.STORE_LOST, "topic" to topic, "reason" to fault.reason)
    }

    private fun markRegained(topic: StateTopic) {
        val status = readStatuses.getValue(topic)
        status.readAt = out.now
        val lostAt = status.lostAt ?: return
        status.lostAt = null
        status.regainedAt = out.now
        out.log(LogEvent.STORE_REGAINED, "topic" to topic, "after_ms" to (out.now - lostAt).inWholeMilliseconds)
    }

    private fun isStale(topic: StateTopic): Boolean = readAge(topic) > RoutingTimes.STORE_READ_TIMEOUT

    private fun readAge(topic: StateTopic): Duration =
        readStatuses.getValue(topic).readAt?.let { out.now - it } ?: Duration.INFINITE

    /**
     * Just after an outage or a restore of the store, entries may be missing that their servers are about to register
     * again.
     */
    private fun removalGrace(): Duration {
        val since = listOfNotNull(readStatuses.getValue(StateTopic.DIRECTORY).regainedAt, restoredAt).maxOrNull()
        return since?.let { (it + RoutingTimes.REGISTRATION_GRACE - out.now).coerceAtLeast(Duration.ZERO) }
            ?: Duration.ZERO
    }

    private companion object {
        /** A peer answers within a few milliseconds; on slow links, the state of a large deployment takes longer. */
        val REQUEST_TIMEOUT = 300.milliseconds
        const val MAX_LOGGED_MEMBERS = 5
    }
}
