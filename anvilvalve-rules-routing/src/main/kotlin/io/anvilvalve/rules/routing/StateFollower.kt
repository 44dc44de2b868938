package io.anvilvalve.rules.routing

import arrow.core.Either
import io.anvilvalve.api.BinaryCodec
import io.anvilvalve.api.log.Member
import io.anvilvalve.api.peer.PeerMessage
import io.anvilvalve.api.result.LogEvent
import io.anvilvalve.api.routing.RecordedUsage
import io.anvilvalve.api.routing.RoutingConfiguration
import io.anvilvalve.api.routing.StatePage
import io.anvilvalve.api.routing.StateTopic
import io.anvilvalve.api.routing.StoreFault
import io.anvilvalve.api.routing.StoredEntry
import kotlinx.serialization.builtins.ListSerializer
import kotlin.time.Duration

/** Takes in what the store holds, from the store itself or from peers while it does not answer this host. */
internal class StateFollower(
    private val out: Outbox,
    private val configuration: ConfigurationState,
    private val directory: Directory,
    private val peers: Peers,
    private val sink: Sink,
) {
    /** Told what changed. */
    interface Sink {
        fun configured(configuration: RoutingConfiguration)

        fun serversChanged()

        fun usageRead(usage: List<RecordedUsage>)
    }

    private class Source {
        var readAt: Duration? = null
        var lostAt: Duration? = null
        var regainedAt: Duration? = null
    }

    private val sources = StateTopic.entries.associateWith { Source() }
    private var askedAt: Duration? = null

    /** Whether the host knows enough to serve. */
    val complete: Boolean get() = configuration.current != null && directory.offset >= 0

    fun read(topic: StateTopic, result: Either<StoreFault, StatePage>) {
        result.fold({ lost(topic, it) }, { page(topic, it) })
    }

    fun peerState(state: PeerMessage.SharedState) {
        state.configuration?.let { configuration(it, "peer") }
        val entries = state.backends
        if (state.directory > directory.offset) {
            out.log(LogEvent.PEER_STATE_APPLIED, "directory" to state.directory, "before" to directory.offset)
            if (directory.apply(entries, complete = true, state.directory, grace())) sink.serversChanged()
        }
    }

    /** Asks a peer that knows more while the store cannot be read; returns the peer to ask. */
    fun peerToAsk(): Peers.Peer? {
        if (askedAt?.let { out.now - it < RoutingTimes.PEER_READ_INTERVAL } == true) return null
        val staleConfiguration = isStale(StateTopic.CONFIGURATION)
        val staleDirectory = isStale(StateTopic.DIRECTORY)
        if (!staleConfiguration && !staleDirectory) return null
        val known = peers.all.filter(peers::isHeard).filter { peer ->
            val last = peer.last
            last != null && (last.configuration > configuration.offset || last.directory > directory.offset)
        }
        return known.maxByOrNull { it.last?.directory ?: -1 }?.also { askedAt = out.now }
    }

    fun tick() {
        if (directory.tick()) sink.serversChanged()
    }

    private fun page(topic: StateTopic, page: StatePage) {
        regained(topic)
        when (topic) {
            StateTopic.CONFIGURATION -> page.entries.forEach { configuration(it, "store") }

            StateTopic.DIRECTORY ->
                if (directory.apply(page.entries, page.complete, page.next, grace())) sink.serversChanged()

            StateTopic.HOSTS -> page.entries.forEach(::host)

            StateTopic.USAGE -> page.entries.forEach(::usage)
        }
    }

    private fun configuration(entry: StoredEntry, source: String) {
        when (val offer = configuration.offer(entry)) {
            is ConfigurationState.Offer.Old -> Unit

            is ConfigurationState.Offer.Faulty ->
                out.log(LogEvent.CONFIGURATION_UNREADABLE, "offset" to entry.offset, "reason" to offer.reason)

            is ConfigurationState.Offer.Applied -> {
                out.log(
                    LogEvent.CONFIGURATION_APPLIED,
                    "configuration" to offer.configuration.version,
                    "offset" to entry.offset,
                    "from" to source,
                    "routes" to offer.configuration.routes.size,
                )
                sink.configured(offer.configuration)
            }
        }
    }

    private fun host(entry: StoredEntry) {
        val value = entry.value ?: return
        BinaryCodec.decode(Member.serializer(), value).fold(
            { out.log(LogEvent.ENTRY_UNREADABLE, "host" to entry.key, "reason" to it) },
            { if (peers.learn(it)) out.log(LogEvent.MEMBER_JOINED, "member" to it.incarnation, "from" to "store") },
        )
    }

    private fun usage(entry: StoredEntry) {
        val value = entry.value ?: return
        BinaryCodec.decode(ListSerializer(RecordedUsage.serializer()), value).fold(
            { out.log(LogEvent.ENTRY_UNREADABLE, "usage" to entry.key, "reason" to it) },
            sink::usageRead,
        )
    }

    private fun lost(topic: StateTopic, fault: StoreFault) {
        val source = sources.getValue(topic)
        if (source.lostAt != null) return
        source.lostAt = out.now
        out.log(LogEvent.STORE_LOST, "topic" to topic, "reason" to fault.reason)
    }

    private fun regained(topic: StateTopic) {
        val source = sources.getValue(topic)
        source.readAt = out.now
        val lostAt = source.lostAt ?: return
        source.lostAt = null
        source.regainedAt = out.now
        out.log(LogEvent.STORE_REGAINED, "topic" to topic, "after_ms" to (out.now - lostAt).inWholeMilliseconds)
    }

    private fun isStale(topic: StateTopic): Boolean {
        val readAt = sources.getValue(topic).readAt ?: return true
        return out.now - readAt > RoutingTimes.STORE_STALE
    }

    /** While the store is back for a short time only, entries may be missing that will be written again. */
    private fun grace(): Duration {
        val regainedAt = sources.getValue(StateTopic.DIRECTORY).regainedAt ?: return Duration.ZERO
        return (regainedAt + RoutingTimes.REGISTRATION_GRACE - out.now).coerceAtLeast(Duration.ZERO)
    }
}
