package io.anvilvalve.api.routing

import arrow.core.Either
import kotlin.time.Duration

/** The platform's store; calls block, and every call ends within a bounded time. */
interface StateStore {
    /**
     * Returns the newest record of every key of [topic]. Each record is replaced by [keep] of it before the next ones are
     * read, so that only what is kept takes memory.
     */
    fun newest(topic: StateTopic, keep: (StoredEntry) -> StoredEntry = { it }): Either<StoreFault, StatePage>

    /** Returns the records of [topic] from position [from] on; waits up to [wait] for the first. */
    fun read(topic: StateTopic, from: StorePosition, wait: Duration): Either<StoreFault, StatePage>

    /** Acquires a fencing token for [holder] that is higher than all earlier ones. */
    fun acquireFencingToken(holder: String): Either<StoreFault, FencingToken>

    /** Whether [token] is the highest fencing token acquired so far. */
    fun isNewestFencingToken(token: FencingToken): Either<StoreFault, Boolean>

    /** Replaces the value of [key] in [topic]; after a fault the value may or may not have been written. */
    fun put(topic: StateTopic, key: String, value: ByteArray): Either<StoreFault, Unit>

    /** Removes [key] from [topic]; after a fault it may or may not have been removed. */
    fun remove(topic: StateTopic, key: String): Either<StoreFault, Unit>
}
