package io.anvilvalve.cli

import arrow.core.Either
import io.anvilvalve.api.port.LiveHostList

/** Operator addresses of the hosts, taken from the settings or, if none are set, from the live list. */
internal class HostDirectory(
    private val configured: List<String>,
    private val liveList: LiveHostList?,
    private val operatorPort: Int,
) {
    /** Returns the addresses as `ip:port`, or the reason why they are unknown. */
    suspend fun addresses(): Either<String, List<String>> = when {
        configured.isNotEmpty() -> Either.Right(configured)

        liveList == null -> Either.Left("neither operator addresses nor a live list are configured")

        else ->
            liveList.hosts().mapLeft { "the live list cannot be read: $it" }
                .map { hosts -> hosts.filter { it.peerPort > 0 }.map { "${it.address}:$operatorPort" } }
    }
}
