package io.anvilvalve.cli

import arrow.core.Either
import io.anvilvalve.api.id.KeyHash
import kotlin.time.Duration

/** Operators' listener of the hosts; [String] on the left side tells why a call failed. */
internal interface OperatorApi {
    /** Reads the status of the host at [address]. */
    suspend fun status(address: String): Either<String, HostStatus>

    /** Withdraws a key at the host; right when the host has applied it. */
    suspend fun withdrawKey(address: String, hash: KeyHash): Either<String, Unit>

    /** Starts a planned stop that ends within [deadline]. */
    suspend fun drain(address: String, deadline: Duration): Either<String, Unit>
}
