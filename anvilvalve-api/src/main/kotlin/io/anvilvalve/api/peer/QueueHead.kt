package io.anvilvalve.api.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/**
 * A host's queued request that is to be placed next.
 *
 * @property rank position among the requests of all hosts at the time of the report; the lowest is placed first.
 * @property waitedMillis time that the request has spent in the queue, in milliseconds.
 * @property tokens engine memory that the request needs, in tokens; 0 for a plain service.
 * @property number distinguishes the queued requests of a host.
 * @property lateInMillis time in milliseconds after which the request cannot meet its objective any more and ranks
 * behind those that can; the greatest value if [rank] says so already.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class QueueHead(
    @CborLabel(1) val rank: Long,
    @CborLabel(2) val waitedMillis: Long,
    @CborLabel(3) val tokens: Int,
    @CborLabel(4) val number: Long,
    @CborLabel(5) val lateInMillis: Long = Long.MAX_VALUE,
)
