package io.anvilvalve.cli

import arrow.core.Either
import io.anvilvalve.api.id.KeyHash
import kotlin.time.Duration

/** Client of the hosts' operator listeners; a failed call returns the reason as a [String]. */
internal interface OperatorApi {
    /** Reads the status of the host at [address]. */
    suspend fun status(address: String): Either<String, HostStatus>

    /** Withdraws a key at the host at [address]; succeeds once the host has applied the withdrawal. */
    suspend fun withdrawKey(address: String, hash: KeyHash): Either<String, Unit>

    /** Starts the planned stop of the host at [address], which ends within [deadline]. */
    suspend fun drain(address: String, deadline: Duration): Either<String, Unit>
}
