package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.result.LogEvent
import io.anvilvalve.api.routing.Backend
import io.anvilvalve.api.routing.ServiceId
import io.anvilvalve.api.routing.StateDecoder
import io.anvilvalve.api.routing.StorePosition
import io.anvilvalve.api.routing.StoredEntry
import kotlin.time.Duration

/** Backend servers decoded from their entries in the store. */
internal class Directory(
    private val out: Outbox,
    private val decoder: StateDecoder,
    private val coldTimes: ColdTimes,
) {
    /** Part of the changes of this directory, up to the position [next]; [isLast] if no further ones follow. */
    class Changes(val entries: List<StoredEntry>, val next: StorePosition, val isLast: Boolean)

    private val limits = EntryLimits(decoder)
    private val records = HashMap<String, StoredEntry>()
    private val backends = LinkedHashMap<BackendServerId, Backend>()
    private val changes = DirectoryChanges()
    private val digests = DirectoryDigest()
    private val removalDueAt = HashMap<String, Duration>()
    private val restored = RestoredEntries(out, decoder)

    /** Position in the store up to which entries have been read, or [StorePosition.NONE]. */
    var position: StorePosition = StorePosition.NONE
        private set

    /** Position at which a backend server last changed; hosts that know a later position know the change. */
    var changedAt: StorePosition = StorePosition.NONE
        private set

    /** Time since entries were last read from the store or a peer; null if they have not been read. */
    val age: Duration? get() = readAt?.let { out.now - it }

    private var readAt: Duration? = null

    val isEmpty: Boolean get() = backends.isEmpty()

    /** Entries that name a backend server. */
    val entries: List<StoredEntry> get() = backends.keys.mapNotNull { records[it.value] }

    /** Digest of all backend servers; null while entries are kept that are about to change. */
    val digest: Long? get() = digests.value.takeIf { removalDueAt.isEmpty() && !restored.isHoldingBack }

    val all: Collection<Backend> get() = backends.values

    operator fun get(id: BackendServerId): Backend? = backends[id]

    fun of(service: ServiceId): List<Backend> = backends.values.filter { it.service == service }

    /**
     * Applies [entries] and returns whether a backend server changed. If [complete] is set, [entries] are all entries
     * that exist; [next] is the position after them.
     *
     * A removed or missing entry is kept for [grace], because its backend server may have been unable to renew it
     * during an outage of the store.
     */
    fun apply(entries: List<StoredEntry>, complete: Boolean, next: StorePosition, grace: Duration): Boolean {
        if (next < position) return false
        val keys = if (complete) entries.mapTo(HashSet()) { it.key } else null
        return apply(entries, keys, next, grace)
    }

    /** As [apply] with all entries that exist, of which those not in [entries] were passed to [applyPart]. */
    fun applyRest(entries: List<StoredEntry>, keys: Set<String>, next: StorePosition, grace: Duration): Boolean =
        next >= position && apply(entries, keys, next, grace)

    /** Applies [entries], which are not all entries up to any position; returns whether a backend server changed. */
    fun applyPart(entries: List<StoredEntry>, grace: Duration): Boolean {
        val changed = putNewer(entries, grace, isLogged = false)
        if (changed) changedAt = unread
        return changed
    }

    private fun apply(entries: List<StoredEntry>, keys: Set<String>?, next: StorePosition, grace: Duration): Boolean {
        val isFirst = readAt == null
        val isOfLaterEra = next.era > position.era
        readAt = out.now
        position = next
        changes.startAt(next)
        val changed = putNewer(entries, grace, isLogged = !isFirst)
        val removed = keys != null && retain(keys, grace)
        if (isFirst) out.log(LogEvent.DIRECTORY_READ, "servers" to backends.size, "offset" to position.offset)
        // Hosts that follow this one learn of the restore with the entries, also if these are the same.
        if (changed || isOfLaterEra) changedAt = position
        if (removed) changedAt = unread
        return changed || removed
    }

    private fun putNewer(entries: List<StoredEntry>, grace: Duration, isLogged: Boolean): Boolean {
        var changed = false
        for (entry in entries) {
            if (restored.isNewer(entry, records[entry.key])) changed = put(entry, grace, isLogged) || changed
        }
        return changed
    }

    /** Entries that changed after [from], oldest change first and at most about [maxBytes] of them. */
    fun changesAfter(from: StorePosition, maxBytes: Int): Changes {
        val entries = ArrayList<StoredEntry>()
        var bytes = 0
        var last = from
        for ((key, changedAt) in changes.after(from)) {
            // A host asks for what follows a position, so changes at the same one must not be parted.
            if (bytes >= maxBytes && changedAt > last) return Changes(entries, last, isLast = false)
            val entry = entry(key, changedAt)
            entries += entry
            bytes += ENTRY_OVERHEAD_BYTES + key.length + (entry.value?.size ?: 0)
            last = changedAt
        }
        return Changes(entries, position, isLast = true)
    }

    /** Whether a host that knows the entries up to [from] learns of all removals by [changesAfter]. */
    fun knowsRemovalsAfter(from: StorePosition): Boolean = changes.completeSince?.let { from >= it } == true

    private fun entry(key: String, changedAt: StorePosition): StoredEntry =
        records[key]?.takeIf { BackendServerId(key) in backends }
            ?: StoredEntry(key, changedAt.offset, value = null, changedAt.era)

    private fun retain(keys: Set<String>, grace: Duration): Boolean {
        restored.retain(keys)
        val missing = records.keys.filter { it !in keys }
        return missing.count { remove(it, grace, unread) } > 0
    }

    /** Applies removals and entries whose grace period has ended; returns whether there were any. */
    fun tick(): Boolean {
        if (removalDueAt.isEmpty() && !restored.isHoldingBack) return false
        val due = removalDueAt.filterValues { it <= out.now }.keys.toList()
        due.forEach { removeNow(it, unread) }
        val returned = restored.takeDue()
        returned.forEach { put(it, grace = Duration.ZERO, isLogged = true) }
        val changed = due.isNotEmpty() || returned.isNotEmpty()
        if (changed) changedAt = unread
        return changed
    }

    /** Follows [position]: a host that took over the entries at this position does not know a change of now. */
    private val unread: StorePosition get() = position.copy(offset = position.offset + 1)

    private fun put(read: StoredEntry, grace: Duration, isLogged: Boolean): Boolean {
        val entry = limits.limit(read)
        val value = entry.value
        if (value == null) return remove(entry.key, grace, positionAfter(entry))
        removalDueAt.remove(entry.key)
        records[entry.key] = entry
        return decoder.backend(entry.key, value).fold(
            {
                val reason = if (value.isEmpty()) "unreadable, or larger than an entry may be" else it
                out.log(LogEvent.ENTRY_UNREADABLE, "server" to entry.key, "offset" to entry.offset, "reason" to reason)
                records[entry.key] = entry.withValue(EntryLimits.EMPTY)
                removeBackend(entry.key, positionAfter(entry))
            },
            { putBackend(entry, it, isLogged) },
        )
    }

    private fun putBackend(entry: StoredEntry, next: Backend, isLogged: Boolean): Boolean {
        val last = backends.put(next.id, next)
        val becameCold = coldTimes.record(next, next.coldFor)
        val isSame = last?.copy(coldFor = next.coldFor) == next
        if (!isSame || becameCold) changes.record(entry.key, positionAfter(entry), isRemoved = false)
        if (isSame) return becameCold
        last?.let(digests::remove)
        digests.add(next)
        if (!isLogged) return true
        out.log(
            LogEvent.SERVER_CHANGED,
            "server" to next.id,
            "service" to next.service,
            "leaving" to next.leaving,
            "version" to next.version,
            "stage" to next.stage,
            "offset" to entry.offset,
        )
        return true
    }

    private fun remove(key: String, grace: Duration, at: StorePosition): Boolean {
        if (key !in records) return false
        if (grace > Duration.ZERO) {
            removalDueAt.putIfAbsent(key, out.now + grace)
            return false
        }
        return removeNow(key, at)
    }

    private fun removeNow(key: String, at: StorePosition): Boolean {
        removalDueAt.remove(key)
        records.remove(key)?.let { restored.recordRemoval(it, position) }
        return removeBackend(key, at)
    }

    private fun removeBackend(key: String, at: StorePosition): Boolean {
        val removed = backends.remove(BackendServerId(key)) ?: return false
        digests.remove(removed)
        changes.record(key, at, isRemoved = true)
        out.log(LogEvent.SERVER_GONE, "server" to removed.id, "service" to removed.service)
        return true
    }

    /** Position up to which the store must be read to know [entry]. */
    private fun positionAfter(entry: StoredEntry): StorePosition =
        if (entry.era >= position.era) entry.position.copy(offset = entry.offset + 1) else unread

    private companion object {
        /** Encoding of an entry's key, offset and era, in bytes. */
        const val ENTRY_OVERHEAD_BYTES = 32
    }
}
