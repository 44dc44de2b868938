package io.anvilvalve.api.peer

import io.anvilvalve.api.id.HostId
import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.id.LogOffset
import kotlinx.serialization.Serializable

/** Envelope of every message between hosts; [appliedOffset] is the last log offset that the sender applied. */
@Serializable
data class PeerFrame(
    val version: Int,
    val sender: HostId,
    val incarnation: Incarnation,
    val appliedOffset: LogOffset,
    val message: PeerMessage,
) {
    companion object {
        /** Version of the peer protocol; frames of other versions are refused. */
        const val VERSION = 1
    }
}
