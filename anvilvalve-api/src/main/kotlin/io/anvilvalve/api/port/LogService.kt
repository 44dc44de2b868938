package io.anvilvalve.api.port

import arrow.core.Either
import io.anvilvalve.api.id.LogOffset
import kotlin.time.Duration

/** The platform's append-only log. */
interface LogService {
    /** Appends [records] in order and contiguously; returns the offset of the first. */
    suspend fun append(records: List<ByteArray>): Either<LogFault, LogOffset>

    /** Reads at most [limit] records from [from] on; waits up to [wait] when there are none. */
    suspend fun read(from: LogOffset, limit: Int, wait: Duration): Either<LogFault, LogPage>
}
