package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.KeyHash
import io.anvilvalve.api.routing.OrganisationRule
import io.anvilvalve.api.routing.RouteRule
import io.anvilvalve.api.routing.RoutingConfiguration
import io.anvilvalve.api.routing.ServiceId
import io.anvilvalve.api.routing.ServiceSpec
import io.anvilvalve.api.routing.StateDecoder
import io.anvilvalve.api.routing.StoredEntry

/** The configuration in force; a version never gives way to an older one. */
internal class ConfigurationState(private val decoder: StateDecoder) {
    private var routes = RouteTable(emptyList())
    private var owners: Map<KeyHash, OrganisationRule> = emptyMap()

    var current: RoutingConfiguration? = null
        private set

    /** The store's record of [current]. */
    var entry: StoredEntry? = null
        private set

    val offset: Long get() = entry?.offset ?: -1

    /** Takes a record; the left side tells why it cannot be used. */
    fun update(record: StoredEntry): Update {
        val value = record.value
        if (value == null || record.offset <= offset) return Update.Stale
        return decoder.configuration(value).fold({ Update.Invalid(it) }, { apply(record, it) })
    }

    fun route(host: String, path: String): RouteRule? = routes.find(host, path)

    fun service(id: ServiceId): ServiceSpec? = current?.services?.get(id)

    fun owner(key: KeyHash): OrganisationRule? = owners[key]

    private fun apply(record: StoredEntry, next: RoutingConfiguration): Update {
        if (next.version < (current?.version ?: Long.MIN_VALUE)) return Update.Stale
        current = next
        entry = record
        routes = RouteTable(next.routes)
        owners = next.organisations.flatMap { rule -> rule.keys.map { it to rule } }.toMap()
        return Update.Applied(next)
    }

    /** What became of an offered record. */
    sealed interface Update {
        data object Stale : Update

        data class Applied(val configuration: RoutingConfiguration) : Update

        data class Invalid(val reason: String) : Update
    }
}
