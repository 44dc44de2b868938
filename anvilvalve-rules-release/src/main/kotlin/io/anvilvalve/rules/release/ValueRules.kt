package io.anvilvalve.rules.release

import io.anvilvalve.api.release.Adapter
import io.anvilvalve.api.release.BackendServer
import io.anvilvalve.api.release.Change
import io.anvilvalve.api.release.Model
import io.anvilvalve.api.release.Organisation
import io.anvilvalve.api.release.Role
import io.anvilvalve.api.release.Route

/** Checks the values of one change without reference to other entries. */
internal object ValueRules {
    const val MAX_NAME = 128
    const val NAME_RULE = "1 to $MAX_NAME letters, digits or . _ : / # -"
    private const val MAX_SLOTS = 10_000
    private const val MAX_KV_PIECES = 10_000_000
    private const val MAX_TOKENS = 32_768
    private const val MAX_CONTEXT_TOKENS = 100_000_000
    private const val MAX_KV_BYTES_PER_TOKEN = 1L shl 30
    private const val MAX_RATE = 1_000_000_000_000L
    private const val MAX_LINK_RATE = 1_000_000_000_000_000L
    private const val MAX_PORT = 65_535
    private val namePattern = Regex("[A-Za-z0-9._:/#-]{1,$MAX_NAME}")
    private val hashPattern = Regex("[0-9a-f]{64}")
    private val ipv4Pattern = Regex("""(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})""")
    private val ipv6Pattern = Regex("""\[([0-9A-Fa-f:.]{2,45})]:(\d{1,5})""")

    fun isName(value: String): Boolean = namePattern.matches(value)

    fun faults(change: Change): List<String> = nameFaults(change) + when (change) {
        is Change.PutBackendServer -> faultsOf(change.server)
        is Change.PutModel -> faultsOf(change.model)
        is Change.PutAdapter -> faultsOf(change.adapter)
        is Change.PutOrganisation -> faultsOf(change.organisation)
        is Change.PutRoute -> faultsOf(change.route)
        else -> emptyList()
    }

    private fun nameFaults(change: Change): List<String> = when {
        change is Change.PutKey || change is Change.WithdrawKey ->
            listOfNotNull("the key hash must be 64 lower-case hexadecimal digits".unless(isHash(change.subject.id)))

        isName(change.subject.id) -> emptyList()

        else -> listOf("the name of ${change.subject} must be $NAME_RULE")
    }

    private fun faultsOf(server: BackendServer): List<String> = listOfNotNull(
        "'${server.address}' is not an IP address with a port".unless(isAddress(server.address)),
        "the data centre must be $NAME_RULE".unless(isName(server.dataCentre.value)),
        rangeFault("slots", server.slots.toLong(), 1L..MAX_SLOTS),
        rangeFault("kvPieces", server.kvPieces.toLong(), 0L..MAX_KV_PIECES),
        rangeFault("linkBytesPerSecond", server.linkBytesPerSecond, 1L..MAX_LINK_RATE),
        "a model is listed twice".unless(server.models.toSet().size == server.models.size),
        "an adapter is listed twice".unless(server.adapters.toSet().size == server.adapters.size),
        "a plain service must not have models or adapters"
            .unless(server.role != Role.SERVICE || (server.models.isEmpty() && server.adapters.isEmpty())),
    )

    private fun faultsOf(model: Model): List<String> = listOfNotNull(
        "the version must be $NAME_RULE".unless(isName(model.version)),
        rangeFault("kvBytesPerToken", model.kvBytesPerToken, 1L..MAX_KV_BYTES_PER_TOKEN),
        rangeFault("maxContextTokens", model.maxContextTokens.toLong(), 1L..MAX_CONTEXT_TOKENS),
    )

    private fun faultsOf(adapter: Adapter): List<String> =
        listOfNotNull("the version must be $NAME_RULE".unless(isName(adapter.version)))

    private fun faultsOf(organisation: Organisation): List<String> = listOfNotNull(
        rangeFault("rate", organisation.rate, 1L..MAX_RATE),
        rangeFault("burst", organisation.burst, 1L..MAX_RATE),
        rangeFault("maxTokens", organisation.maxTokens.toLong(), 1L..MAX_TOKENS),
        "maxTokens exceeds burst, so a request of that size could never be admitted"
            .unless(organisation.maxTokens <= organisation.burst),
    )

    private fun faultsOf(route: Route): List<String> = listOfNotNull(
        "the route has no backend server".unless(route.backendServers.isNotEmpty()),
        "a backend server is listed twice".unless(route.backendServers.toSet().size == route.backendServers.size),
        rangeFault("costTokens", route.costTokens, 0L..MAX_RATE),
        "a non-repeatable route must not be open, because claims belong to an organisation"
            .unless(route.repeatable || !route.open),
    )

    private fun isHash(value: String): Boolean = hashPattern.matches(value)

    private fun isAddress(value: String): Boolean {
        val numbers = ipv4Pattern.matchEntire(value)?.groupValues?.drop(1)?.map { it.toInt() }
        val port = numbers?.last() ?: ipv6Pattern.matchEntire(value)?.groupValues?.last()?.toInt()
        val octetsFit = numbers == null || numbers.dropLast(1).all { it in 0..UByte.MAX_VALUE.toInt() }
        return port in 1..MAX_PORT && octetsFit
    }

    private fun rangeFault(name: String, value: Long, allowed: LongRange): String? =
        "$name is $value, outside ${allowed.first} to ${allowed.last}".unless(value in allowed)

    private fun String.unless(holds: Boolean): String? = takeUnless { holds }
}
