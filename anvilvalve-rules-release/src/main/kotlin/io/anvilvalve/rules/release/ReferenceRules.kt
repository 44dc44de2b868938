package io.anvilvalve.rules.release

import io.anvilvalve.api.release.BackendServer
import io.anvilvalve.api.release.Change
import io.anvilvalve.api.release.Release
import io.anvilvalve.api.release.ReleaseNote
import io.anvilvalve.api.release.Role
import io.anvilvalve.api.release.Route

/** Checks that every entry referenced by a change exists in the release that would result from the note. */
internal object ReferenceRules {
    fun faultsOfPut(change: Change, after: Release): List<String> = when (change) {
        is Change.PutBackendServer -> faultsOf(change.server, after)

        is Change.PutRoute -> faultsOf(change.route, after)

        is Change.PutAdapter -> listOfNotNull(
            "model '${change.adapter.model}' is unknown".takeIf { change.adapter.model !in after.models },
        )

        is Change.PutKey -> listOfNotNull(
            "organisation '${change.key.organisation}' is unknown"
                .takeIf { change.key.organisation !in after.organisations },
        )

        else -> emptyList()
    }

    /** Checks that no entry that stays in the release depends on one that [note] withdraws or changes. */
    fun faultsOfWithdrawals(note: ReleaseNote, after: Release): List<NoteFault> {
        val put = note.changes.filterNot { it.withdraws }.map { it.subject }.toSet()
        return note.faultsPerChange { change ->
            referrersOf(change, after)
                .filterNot { it in put }
                .map { "$it still uses ${change.subject}" }
                .toList()
        }
    }

    private fun faultsOf(server: BackendServer, after: Release): List<String> =
        server.models.filter { it !in after.models }.map { "model '$it' is unknown" } +
            server.adapters.filter { it !in after.adapters }.map { "adapter '$it' is unknown" } +
            server.adapters.mapNotNull { after.adapters[it] }.filter { it.model !in server.models }
                .map { "adapter '${it.id}' needs model '${it.model}', which the server does not have" }

    private fun faultsOf(route: Route, after: Release): List<String> = route.backendServers.mapNotNull { id ->
        val server = after.servers[id]
        when {
            server == null -> "backend server '$id' is unknown"
            server.role != Role.SERVICE -> "backend server '$id' is not a plain service"
            else -> null
        }
    }

    private fun referrersOf(change: Change, after: Release): Sequence<Subject> = when (change) {
        is Change.WithdrawModel -> serversWith(after) { change.id in it.models } + adaptersWith(change, after)

        is Change.WithdrawAdapter -> serversWith(after) { change.id in it.adapters }

        is Change.WithdrawBackendServer -> routesWith(after) { change.id in it.backendServers }

        is Change.PutBackendServer ->
            if (change.server.role == Role.SERVICE) {
                emptySequence()
            } else {
                routesWith(after) { change.server.id in it.backendServers }
            }

        is Change.PutAdapter -> serversWith(after) {
            change.adapter.id in it.adapters && change.adapter.model !in it.models
        }

        is Change.WithdrawOrganisation ->
            after.keys.values.asSequence()
                .filter { it.organisation == change.id }
                .map { Change.PutKey(it).subject }

        else -> emptySequence()
    }

    private fun adaptersWith(change: Change.WithdrawModel, after: Release): Sequence<Subject> =
        after.adapters.values.asSequence().filter { it.model == change.id }.map { Change.PutAdapter(it).subject }

    private fun serversWith(after: Release, uses: (BackendServer) -> Boolean): Sequence<Subject> =
        after.servers.values.asSequence().filter(uses).map { Change.PutBackendServer(it).subject }

    private fun routesWith(after: Release, uses: (Route) -> Boolean): Sequence<Subject> =
        after.routes.values.asSequence().filter(uses).map { Change.PutRoute(it).subject }

    private val Change.withdraws: Boolean
        get() = when (this) {
            is Change.WithdrawBackendServer,
            is Change.WithdrawModel,
            is Change.WithdrawAdapter,
            is Change.WithdrawOrganisation,
            is Change.WithdrawKey,
            is Change.WithdrawRoute,
            -> true

            else -> false
        }
}

/** Checks that no two backend servers have the same address. */
internal object AddressRules {
    fun faults(note: ReleaseNote, after: Release): List<NoteFault> {
        val put = note.changes.filterIsInstance<Change.PutBackendServer>().map { it.server.address }.toSet()
        if (put.isEmpty()) return emptyList()
        val byAddress = after.servers.values.filter { it.address in put }.groupBy { it.address }
        return note.faultsPerChange { change ->
            val server = (change as? Change.PutBackendServer)?.server
            byAddress[server?.address].orEmpty()
                .filter { it.id != server?.id }
                .map { "backend server '${it.id}' has the same address" }
        }
    }
}
