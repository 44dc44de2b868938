package io.anvilvalve.rules.release

import io.anvilvalve.api.id.KeyHash
import io.anvilvalve.api.release.Change
import io.anvilvalve.api.release.Release
import io.anvilvalve.api.release.ReleaseNote

/**
 * Returns the release that results from applying [note], which must be valid, to this one.
 *
 * Keys in [withdrawn] are not added, even if the note puts them.
 */
fun Release.applying(note: ReleaseNote, withdrawn: Set<KeyHash> = emptySet()): Release =
    note.changes.fold(ReleaseBuilder(this, withdrawn)) { builder, change -> builder.apply { add(change) } }
        .build()
        .copy(number = number.next())

/** Applies the changes of one note; maps that the note does not change are shared with the previous release. */
internal class ReleaseBuilder(private val before: Release, private val withdrawn: Set<KeyHash>) {
    private val servers = CopyOnWriteMap(before.servers)
    private val models = CopyOnWriteMap(before.models)
    private val adapters = CopyOnWriteMap(before.adapters)
    private val organisations = CopyOnWriteMap(before.organisations)
    private val keys = CopyOnWriteMap(before.keys)
    private val routes = CopyOnWriteMap(before.routes)

    fun add(change: Change) {
        when (change) {
            is Change.PutBackendServer -> servers.put(change.server.id, change.server)
            is Change.WithdrawBackendServer -> servers.remove(change.id)
            is Change.PutModel -> models.put(change.model.id, change.model)
            is Change.WithdrawModel -> models.remove(change.id)
            is Change.PutAdapter -> adapters.put(change.adapter.id, change.adapter)
            is Change.WithdrawAdapter -> adapters.remove(change.id)
            is Change.PutOrganisation -> organisations.put(change.organisation.id, change.organisation)
            is Change.WithdrawOrganisation -> organisations.remove(change.id)
            is Change.PutKey -> if (change.key.hash !in withdrawn) keys.put(change.key.hash, change.key)
            is Change.WithdrawKey -> keys.remove(change.hash)
            is Change.PutRoute -> routes.put(change.route.id, change.route)
            is Change.WithdrawRoute -> routes.remove(change.id)
            is Change.HostGone -> Unit
        }
    }

    fun build(): Release = Release(
        number = before.number,
        servers = servers.result,
        models = models.result,
        adapters = adapters.result,
        organisations = organisations.result,
        keys = keys.result,
        routes = routes.result,
    )
}

/** Map that is copied on the first write. */
internal class CopyOnWriteMap<K, V>(private val before: Map<K, V>) {
    private var copy: MutableMap<K, V>? = null

    val result: Map<K, V> get() = copy ?: before

    fun put(key: K, value: V) {
        mutableCopy()[key] = value
    }

    fun remove(key: K) {
        mutableCopy().remove(key)
    }

    private fun mutableCopy(): MutableMap<K, V> = copy ?: LinkedHashMap(before).also { copy = it }
}
