package io.anvilvalve.api.routing

import arrow.core.Either
import kotlin.time.Duration

/** The platform's store; calls block, and every call ends within a bounded time. */
interface StateStore {
    /** Newest record of every key of [topic]. */
    fun newest(topic: StateTopic): Either<StoreFault, StatePage>

    /** Records of [topic] from offset [from] on; waits up to [wait] for the first. */
    fun read(topic: StateTopic, from: Long, wait: Duration): Either<StoreFault, StatePage>

    /** Takes a fencing number that is higher than all that were taken before, in the name of [holder]. */
    fun acquireFencingToken(holder: String): Either<StoreFault, Long>

    /** Whether [fence] is the highest fencing number that was taken. */
    fun isNewestFencingToken(fence: Long): Either<StoreFault, Boolean>

    /** Replaces the value of [key] in [topic]; a fault leaves open whether it was done. */
    fun put(topic: StateTopic, key: String, value: ByteArray): Either<StoreFault, Unit>
}
