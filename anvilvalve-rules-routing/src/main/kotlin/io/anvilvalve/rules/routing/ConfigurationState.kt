package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.KeyHash
import io.anvilvalve.api.peer.PeerMessage
import io.anvilvalve.api.routing.OrganisationRule
import io.anvilvalve.api.routing.RouteRule
import io.anvilvalve.api.routing.RoutingConfiguration
import io.anvilvalve.api.routing.ServiceId
import io.anvilvalve.api.routing.ServiceSpec
import io.anvilvalve.api.routing.StateDecoder
import io.anvilvalve.api.routing.StoredEntry

/** The configuration in force. An older version never replaces a newer one. */
internal class ConfigurationState(private val decoder: StateDecoder) {
    private var routes = RouteTable(emptyList())
    private var owners: Map<KeyHash, OrganisationRule> = emptyMap()

    var current: RoutingConfiguration? = null
        private set

    /** The store record that [current] was decoded from. */
    var entry: StoredEntry? = null
        private set

    /** Message with [entry] for other hosts, the same one for all of them, so that it is encoded once. */
    var message: PeerMessage.SharedState? = null
        private set

    /** Version in force, or -1. */
    val version: Long get() = current?.version ?: -1

    /**
     * Applies [record] unless it is older than the one in force or cannot be decoded.
     *
     * Within an era of the store the later record is the newer one. Between eras the version decides, because a copy
     * contains older versions at positions of a later era.
     */
    fun update(record: StoredEntry): Update {
        val value = record.value
        val isKnown = entry?.let { it.era == record.era && it.offset >= record.offset } == true
        if (value == null || isKnown) return Update.Stale
        return decoder.configuration(value).fold({ Update.Invalid(it) }, { apply(record, it) })
    }

    /** Whether [record] of the operators' topic holds a configuration. */
    fun isConfiguration(record: StoredEntry): Boolean = decoder.evacuatedDataCentre(record.key) == null

    fun route(host: String, path: String): RouteRule? = routes.find(host, path)

    fun service(id: ServiceId): ServiceSpec? = current?.services?.get(id)

    /** Whether the requests of the route [name] go to a single service. */
    fun hasOneService(name: String): Boolean = current?.routes.orEmpty().find { it.name == name }?.targets?.size == 1

    fun owner(key: KeyHash): OrganisationRule? = owners[key]

    private fun apply(record: StoredEntry, next: RoutingConfiguration): Update {
        if (next.version < version) return Update.Stale
        val last = entry?.takeIf { next.version == version }
        if (last != null && record.position < last.position) return Update.Stale
        val isRepeated = last != null && record.value.contentEquals(last.value)
        entry = record
        message = PeerMessage.SharedState(record, emptyList(), directory = -1)
        if (isRepeated) return Update.Stale
        current = next
        routes = RouteTable(next.routes)
        owners = next.organisations.flatMap { rule -> rule.keys.map { it to rule } }.toMap()
        return Update.Applied(next)
    }

    /** Result of [update]. */
    sealed interface Update {
        data object Stale : Update

        data class Applied(val configuration: RoutingConfiguration) : Update

        data class Invalid(val reason: String) : Update
    }
}
