package io.anvilvalve.api.peer

import io.anvilvalve.api.id.KeyHash
import io.anvilvalve.api.id.LogOffset
import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.id.TransferId
import io.anvilvalve.api.log.Claim
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString

/** A message between entry hosts. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
sealed interface PeerMessage {
    /** Asks for a [ProbeReply]; [membership] is the offset of the last membership record that the sender applied. */
    @Serializable
    @SerialName("pr")
    data class Probe(val id: Long, val membership: LogOffset) : PeerMessage

    /** Answers the probe [id]; [logReadable] tells whether the sender can read the log. */
    @Serializable
    @SerialName("pa")
    data class ProbeReply(val id: Long, val membership: LogOffset, val logReadable: Boolean) : PeerMessage

    /** Asks for log records from offset [from] on. */
    @Serializable
    @SerialName("rq")
    data class RecordsRequest(val from: LogOffset) : PeerMessage

    /** Carries consecutive records, or a [snapshot] of the state up to and including offset [covered]. */
    @Serializable
    @SerialName("rs")
    class Records(
        val from: LogOffset,
        val records: List<RecordBytes>,
        val covered: LogOffset? = null,
        @ByteString val snapshot: ByteArray? = null,
    ) : PeerMessage

    /** Spreads the withdrawal of a key before the log has it. */
    @Serializable
    @SerialName("kw")
    data class KeyWithdrawn(val hash: KeyHash) : PeerMessage

    /** Asks the slot owner for up to [amount] tokens of the organisation's share number [share]. */
    @Serializable
    @SerialName("tq")
    data class TokenRequest(val id: TransferId, val organisation: OrganisationId, val share: Int, val amount: Long) :
        PeerMessage

    /** Hands over [amount] tokens, already debited from the giver; 0 when it has none. */
    @Serializable
    @SerialName("tg")
    data class TokenGrant(val id: TransferId, val organisation: OrganisationId, val share: Int, val amount: Long) :
        PeerMessage

    /** Gives [amount] unused tokens back to the owner of the share. */
    @Serializable
    @SerialName("tr")
    data class TokenReturn(val id: TransferId, val organisation: OrganisationId, val share: Int, val amount: Long) :
        PeerMessage

    /** Submits a request to the pool owner. */
    @Serializable
    @SerialName("su")
    data class Submit(val item: WorkItem, val attempt: Int) : PeerMessage

    /** Tells the origin of a request where it runs or why it does not. */
    @Serializable
    @SerialName("pl")
    data class Placement(val id: RequestId, val attempt: Int, val outcome: PlacementOutcome) : PeerMessage

    /** Reports a step of a placed request; [tokens] generated and [micros] spent in the step that ended. */
    @Serializable
    @SerialName("wp")
    data class WorkProgress(
        val id: RequestId,
        val attempt: Int,
        val phase: Phase,
        val tokens: Int = 0,
        val micros: Long = 0,
    ) : PeerMessage

    /** Announces a running request to a new pool owner. */
    @Serializable
    @SerialName("wr")
    data class WorkRunning(val item: WorkItem, val attempt: Int, val placed: PlacementOutcome.Placed) : PeerMessage

    /** Change [sequence] of the sender's in-flight table; [full] replaces the table. */
    @Serializable
    @SerialName("if")
    data class InFlightDelta(
        val sequence: Long,
        val full: Boolean,
        val added: List<InFlight>,
        val removed: List<String>,
    ) : PeerMessage

    /** Reports a gap in the deltas, which were expected to go on at [expected], and asks for the full table. */
    @Serializable
    @SerialName("ir")
    data class InFlightResync(val expected: Long) : PeerMessage

    /** Asks the gathering host of a data centre to append [claims]. */
    @Serializable
    @SerialName("cb")
    data class ClaimBatch(val claims: List<Claim>) : PeerMessage
}
