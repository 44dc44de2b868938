package io.anvilvalve.api.log

import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.id.ClaimId
import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.id.KeyHash
import io.anvilvalve.api.id.LogOffset
import io.anvilvalve.api.release.ReleaseNote
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/** One record of the log, encoded as CBOR. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
sealed interface LogRecord {
    /** A release note to validate and apply. */
    @Serializable
    @SerialName("note")
    data class Note(val note: ReleaseNote) : LogRecord

    /** Withdraws a key without regard to the current release number. */
    @Serializable
    @SerialName("key-withdrawn")
    data class KeyWithdrawn(val hash: KeyHash) : LogRecord

    /** Part [index] of [count] of a snapshot of all state up to and including [covered]. */
    @Serializable
    @SerialName("snapshot")
    class SnapshotChunk(
        val id: String,
        val covered: LogOffset,
        val index: Int,
        val count: Int,
        val sha256: String,
        @ByteString val data: ByteArray,
    ) : LogRecord

    /** An incarnation joins the fleet; it replaces an earlier one at the same address. */
    @Serializable
    @SerialName("joined")
    data class HostJoined(val member: Member) : LogRecord

    /** An incarnation has stopped after draining, without removal by other hosts. */
    @Serializable
    @SerialName("left")
    data class HostLeft(val incarnation: Incarnation) : LogRecord

    /** The incarnation [by] suspects that [incarnation] is dead; the removal takes effect once a majority confirms. */
    @Serializable
    @SerialName("removed")
    data class HostRemoved(val incarnation: Incarnation, val by: Incarnation) : LogRecord

    /** Assigns limit [slots] to [owner]; [previous] is the owner that the writer saw for each slot, null for none. */
    @Serializable
    @SerialName("slots-assigned")
    data class SlotsAssigned(val slots: List<Int>, val owner: Incarnation, val previous: List<Incarnation?>) : LogRecord

    /** The incarnation [owner] has stopped refilling [slots] and releases them. */
    @Serializable
    @SerialName("slots-released")
    data class SlotsReleased(val slots: List<Int>, val owner: Incarnation) : LogRecord

    /** Claims batched into one append. */
    @Serializable
    @SerialName("claims")
    data class Claims(val claims: List<Claim>) : LogRecord

    /** Reply of the call that [claim] won. */
    @Serializable
    @SerialName("claim-outcome")
    class ClaimOutcome(val claim: ClaimId, val reply: KeptReply) : LogRecord

    /** The claimant abandoned the call before it sent any byte; the next claim for the same call may win. */
    @Serializable
    @SerialName("claim-abandoned")
    data class ClaimAbandoned(val claim: ClaimId) : LogRecord

    /** The incarnation [holder] requests the lease to issue engine orders; the record's offset is the fencing token. */
    @Serializable
    @SerialName("order-lease")
    data class OrderLease(val holder: Incarnation) : LogRecord

    /** A backend server has reached the state [target]. */
    @Serializable
    @SerialName("order-done")
    data class OrderDone(val server: BackendServerId, val target: String) : LogRecord
}
