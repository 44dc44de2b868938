package io.anvilvalve.rules.routing

import io.anvilvalve.api.BinaryCodec
import io.anvilvalve.api.result.LogEvent
import io.anvilvalve.api.routing.ServiceId
import io.anvilvalve.api.routing.StateTopic
import io.anvilvalve.api.routing.StoredEntry
import kotlinx.serialization.builtins.ListSerializer
import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Software versions at which streams may have begun that their callers may still take up.
 *
 * A version counts until its last server has been gone for longer than streams last. One host writes the versions to the
 * store, because after a start of all hosts nobody else knows of versions that have left.
 */
internal class ServiceVersions(
    private val out: Outbox,
    private val directory: Directory,
    private val peers: Peers,
    private val longestStream: () -> Duration,
) {
    private val seenAt = HashMap<ServiceVersion, Duration>()
    private var startedAt: Duration? = null
    private var updatedAt: Duration? = null

    /** Whether the versions before this start were read from the store. */
    private var isRestored = false
    private var written: Set<ServiceVersion>? = null
    private var writtenAt: Duration? = null

    /** Time for which callers may take up a stream after it began. */
    val retention: Duration get() = longestStream() + MARGIN

    /** Takes over what the store has, of the topic's [entries]; without a record, no host has run before. */
    fun restore(entries: List<StoredEntry>) {
        val value = entries.firstOrNull { it.key == KEY }?.value
        val versions = value?.let { BinaryCodec.decode(ListSerializer(ServiceVersion.serializer()), it) }
        versions?.fold({ return out.log(LogEvent.ENTRY_UNREADABLE, "versions" to KEY, "reason" to it) }) {
            it.forEach { version -> seenAt[version] = out.now }
        }
        isRestored = true
    }

    /** The version of all streams of [service] that callers may still take up; null if there are several or if unknown. */
    fun only(service: ServiceId): String? {
        if (!isComplete()) return null
        return seenAt.filterKeys { it.service == service }.filterValues { out.now - it < retention }.keys
            .map { it.version }.singleOrNull()
    }

    /** Records the versions of the directory after a change. */
    fun update() {
        if (directory.isEmpty) return
        if (startedAt == null) startedAt = out.now
        updatedAt = out.now
        directory.all.forEach { seenAt[ServiceVersion(it.service, it.version)] = out.now }
    }

    fun tick() {
        if (updatedAt?.let { out.now - it >= UPDATE_INTERVAL } != true) return
        update()
        seenAt.values.removeIf { out.now - it >= retention }
        write()
    }

    /** Writes the versions again, because the store has an older record. */
    fun storeRestored() {
        written = null
    }

    private fun write() {
        val versions = seenAt.keys.toSet()
        val isDue = writtenAt?.let { out.now - it >= WRITE_INTERVAL } != false
        if (!peers.isLeader || !isComplete() || (versions == written && !isDue)) return
        written = versions
        writtenAt = out.now
        val value = BinaryCodec.encode(ListSerializer(ServiceVersion.serializer()), versions.toList())
        out.emit(RoutingEffect.PutState(StateTopic.USAGE, KEY, value))
    }

    private fun isComplete() = isRestored || startedAt?.let { out.now - it >= retention } == true

    companion object {
        const val KEY = "versions"

        /** Covers the time that a caller takes to return, and the delay of entries. */
        private val MARGIN = 6.seconds
        private val UPDATE_INTERVAL = 1.seconds

        /** A write that failed is made up for after this time. */
        private val WRITE_INTERVAL = 10.seconds
    }
}
