package io.anvilvalve.rules.routing

import arrow.core.Either
import io.anvilvalve.api.BinaryCodec
import io.anvilvalve.api.peer.EvacuationReport
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

/**
 * Applies the state in the store, read from the store itself or from peers while the store does not answer this host.
 */
internal class StateFollower(
    private val out: Outbox,
    private val configuration: ConfigurationState,
    private val directory: Directory,
    private val evacuations: Evacuations,
    private val peers: Peers,
    private val hosts: HostEntries,
    private val sink: Sink,
) {
    /** Receives the changes of the state. */
    interface Sink {
        fun configurationChanged(configuration: RoutingConfiguration)

        fun serversChanged()

        fun evacuationsChanged()

        fun usageRead(usage: List<RecordedUsage>)

        /** All records that hosts have written beside their entries. */
        fun recordsRead(entries: List<StoredEntry>)

        /** The store came back from an older copy. */
        fun storeRestored()
    }

    private class ReadStatus {
        var readAt: Duration? = null
        var lostAt: Duration? = null
        var regainedAt: Duration? = null
    }

    private val readStatuses = StateTopic.entries.associateWith { ReadStatus() }
    private var era: Long? = null
    private var restoredAt: Duration? = null

    /** Era in which the list of hosts was last read; null if it has not been read. */
    private var hostsEra: Long? = null

    /** Time since when a peer has had a newer version of the configuration; null if none has. */
    private var behindSince: Duration? = null
    private var requestedAt: Duration? = null

    /** Whether this host has the state that it needs to serve. */
    val complete: Boolean get() = configuration.current != null && directory.position != StorePosition.NONE

    fun readCompleted(topic: StateTopic, result: Either<StoreFault, StatePage>) {
        result.fold({ markLost(topic, it) }, { applyPage(topic, it) })
    }

    /** Applies the configuration in [entry], which another host has sent. */
    fun applyPeerConfiguration(entry: StoredEntry) = applyConfiguration(entry, "peer")

    /** Applies entries of backend servers up to [position], which another host has sent, by [apply]. */
    fun applyPeerEntries(position: StorePosition, apply: Directory.(grace: Duration) -> Boolean) {
        noteEra(position.era)
        if (directory.apply(removalGrace())) sink.serversChanged()
    }

    /**
     * Selects a peer with newer state to request it from, while the store does not answer this host or lacks a version
     * that a peer knows; null if there is none or a request was made recently.
     */
    fun selectStatePeer(): Peers.Peer? {
        val alive = peers.all.filter(peers::isAlive)
        noteVersionOf(alive)
        if (requestedAt?.let { out.now - it < RoutingTimes.STATE_REQUEST_INTERVAL } == true) return null
        return alive.filter(::hasMissingState)
            .maxByOrNull { it.lastMessage?.directoryPosition ?: StorePosition.NONE }
            ?.also { requestedAt = out.now }
    }

    private fun noteVersionOf(alive: List<Peers.Peer>) {
        if (alive.any(::hasNewerVersion)) behindSince = behindSince ?: out.now else behindSince = null
    }

    private fun hasNewerVersion(peer: Peers.Peer) =
        peer.lastMessage?.let { it.configuration > configuration.version } == true

    private fun hasMissingState(peer: Peers.Peer): Boolean {
        val isReadUseless = behindSince?.let { it < (readStatuses.getValue(StateTopic.CONFIGURATION).readAt ?: it) }
        if (isReadUseless == true && hasNewerVersion(peer)) return true
        if (!isStale(StateTopic.CONFIGURATION) && !isStale(StateTopic.DIRECTORY)) return false
        val position = peer.lastMessage?.directoryPosition ?: return false
        return hasNewerVersion(peer) || position > directory.position
    }

    /** Time since configuration and directory were both read from the store; infinite if one never was. */
    val storeAge: Duration
        get() = maxOf(readAge(StateTopic.CONFIGURATION), readAge(StateTopic.DIRECTORY))

    /** Time since the entries of the backend servers were read from the store; infinite if they never were. */
    val directoryAge: Duration get() = readAge(StateTopic.DIRECTORY)

    /** Whether the store has come back from a copy since the list of hosts was read. */
    val isHostListOutdated: Boolean get() = restoredAt != null && hostsEra != era

    /** Whether the list of hosts has been read from the store. */
    val areHostsRead: Boolean get() = hostsEra != null

    fun tick() {
        if (directory.tick()) sink.serversChanged()
    }

    private fun applyPage(topic: StateTopic, page: StatePage) {
        markRegained(topic)
        noteEra(page.next.era)
        when (topic) {
            StateTopic.CONFIGURATION -> applyOperators(page)

            StateTopic.DIRECTORY -> {
                val changed = directory.apply(page.entries, page.complete, page.next, removalGrace())
                if (changed) sink.serversChanged()
            }

            StateTopic.HOSTS -> {
                hostsEra = page.next.era
                hosts.apply(page)
            }

            StateTopic.USAGE -> {
                page.entries.filter { it.key != ServiceVersions.KEY }.forEach(::applyUsage)
                sink.recordsRead(page.entries)
            }
        }
    }

    /** Applies the operators' records: evacuations first, so that no request is placed by the configuration alone. */
    private fun applyOperators(page: StatePage) {
        if (evacuations.apply(page)) sink.evacuationsChanged()
        page.entries.filter { configuration.isConfiguration(it) }.forEach { applyConfiguration(it, "store") }
    }

    /** Applies what another host knows of evacuations; an older host sends null. */
    fun applyPeerEvacuations(report: EvacuationReport?) {
        if (report != null && evacuations.apply(report)) sink.evacuationsChanged()
    }

    /** Records that the store was seen in [next]. */
    private fun noteEra(next: Long) {
        val before = era
        if (before != null && next <= before) return
        era = next
        if (before == null) return
        restoredAt = out.now
        out.log(
            LogEvent.STORE_RESTORED,
            "era" to next,
            "before" to before,
            "configuration" to configuration.current?.version,
            "configuration_position" to configuration.entry?.position,
            "directory" to directory.position,
        )
        sink.storeRestored()
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
}
