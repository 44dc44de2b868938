package io.anvilvalve.rules.release

import io.anvilvalve.api.id.KeyHash
import io.anvilvalve.api.release.Change

/** Release entry that a change refers to; two changes of one note must not have the same subject. */
internal data class Subject(val kind: String, val id: String) {
    /** Shortens key hashes, because messages are written to logs. */
    override fun toString(): String = if (kind == KEY) "$kind '${KeyHash(id)}'" else "$kind '$id'"
}

private const val SERVER = "backend server"
private const val MODEL = "model"
private const val ADAPTER = "adapter"
private const val ORGANISATION = "organisation"
private const val KEY = "key"
private const val ROUTE = "route"
private const val HOST = "host"

internal val Change.subject: Subject
    get() = when (this) {
        is Change.PutBackendServer -> Subject(SERVER, server.id.value)
        is Change.WithdrawBackendServer -> Subject(SERVER, id.value)
        is Change.PutModel -> Subject(MODEL, model.id.value)
        is Change.WithdrawModel -> Subject(MODEL, id.value)
        is Change.PutAdapter -> Subject(ADAPTER, adapter.id.value)
        is Change.WithdrawAdapter -> Subject(ADAPTER, id.value)
        is Change.PutOrganisation -> Subject(ORGANISATION, organisation.id.value)
        is Change.WithdrawOrganisation -> Subject(ORGANISATION, id.value)
        is Change.PutKey -> Subject(KEY, key.hash.hex)
        is Change.WithdrawKey -> Subject(KEY, hash.hex)
        is Change.PutRoute -> Subject(ROUTE, route.id.value)
        is Change.WithdrawRoute -> Subject(ROUTE, id.value)
        is Change.HostGone -> Subject(HOST, incarnation.value)
    }
