package io.anvilvalve.api.peer

import io.anvilvalve.api.id.HostId
import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.id.LogOffset
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** Envelope of every message between hosts; [appliedOffset] is the last log offset that the sender applied. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class PeerFrame(
    @CborLabel(1) val version: Int,
    @CborLabel(2) val sender: HostId,
    @CborLabel(3) val incarnation: Incarnation,
    @CborLabel(4) val appliedOffset: LogOffset,
    @CborLabel(5) val message: PeerMessage,
) {
    companion object {
        /** Version of the peer protocol; frames of other versions are refused. */
        const val VERSION = 1

        /** Maximum size of an encoded frame; limits the memory that a host can make another one allocate for it. */
        const val MAX_BYTES = 1024 * 1024
    }
}
