package io.anvilvalve.api.peer

import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.id.KeyHash
import io.anvilvalve.api.id.LogOffset
import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.id.TransferId
import io.anvilvalve.api.log.Claim
import io.anvilvalve.api.log.Member
import io.anvilvalve.api.routing.StorePosition
import io.anvilvalve.api.routing.StoredEntry
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.ByteString
import kotlinx.serialization.cbor.CborLabel

/** A message between hosts. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
sealed interface PeerMessage {
    /** Asks for a [ProbeReply]; [membership] is the offset of the last membership record that the sender applied. */
    @Serializable
    @SerialName("pr")
    data class Probe(@CborLabel(1) val id: Long, @CborLabel(2) val membership: LogOffset) : PeerMessage

    /** Answers the probe [id]; [logReadable] tells whether the sender can read the log. */
    @Serializable
    @SerialName("pa")
    data class ProbeReply(
        @CborLabel(1) val id: Long,
        @CborLabel(2) val membership: LogOffset,
        @CborLabel(3) val logReadable: Boolean,
    ) : PeerMessage

    /** Asks for log records from offset [from] on. */
    @Serializable
    @SerialName("rq")
    data class RecordsRequest(@CborLabel(1) val from: LogOffset) : PeerMessage

    /** Carries consecutive records, or a [snapshot] of the state up to and including offset [covered]. */
    @Serializable
    @SerialName("rs")
    class Records(
        @CborLabel(1) val from: LogOffset,
        @CborLabel(2) val records: List<RecordBytes>,
        @CborLabel(3) val covered: LogOffset? = null,
        @CborLabel(4) @ByteString val snapshot: ByteArray? = null,
    ) : PeerMessage

    /** Propagates the withdrawal of a key before it is recorded in the log. */
    @Serializable
    @SerialName("kw")
    data class KeyWithdrawn(@CborLabel(1) val hash: KeyHash) : PeerMessage

    /** Asks the slot owner for up to [amount] tokens of the organisation's share number [share]. */
    @Serializable
    @SerialName("tq")
    data class TokenRequest(
        @CborLabel(1) val id: TransferId,
        @CborLabel(2) val organisation: OrganisationId,
        @CborLabel(3) val share: Int,
        @CborLabel(4) val amount: Long,
    ) : PeerMessage

    /** Transfers [amount] tokens, already debited from the sender; 0 when the sender has none. */
    @Serializable
    @SerialName("tg")
    data class TokenGrant(
        @CborLabel(1) val id: TransferId,
        @CborLabel(2) val organisation: OrganisationId,
        @CborLabel(3) val share: Int,
        @CborLabel(4) val amount: Long,
    ) : PeerMessage

    /** Returns [amount] unused tokens to the slot owner. */
    @Serializable
    @SerialName("tr")
    data class TokenReturn(
        @CborLabel(1) val id: TransferId,
        @CborLabel(2) val organisation: OrganisationId,
        @CborLabel(3) val share: Int,
        @CborLabel(4) val amount: Long,
    ) : PeerMessage

    /** Submits a request to the pool owner. */
    @Serializable
    @SerialName("su")
    data class Submit(@CborLabel(1) val item: WorkItem, @CborLabel(2) val attempt: Int) : PeerMessage

    /** Reports to the origin of a request where the request runs or why it was refused. */
    @Serializable
    @SerialName("pl")
    data class Placement(
        @CborLabel(1) val id: RequestId,
        @CborLabel(2) val attempt: Int,
        @CborLabel(3) val outcome: PlacementOutcome,
    ) : PeerMessage

    /**
     * Reports the [phase] that a placed request has reached.
     *
     * @property tokens tokens generated in the phase that ended.
     * @property micros duration of the phase that ended, in microseconds.
     */
    @Serializable
    @SerialName("wp")
    data class WorkProgress(
        @CborLabel(1) val id: RequestId,
        @CborLabel(2) val attempt: Int,
        @CborLabel(3) val phase: Phase,
        @CborLabel(4) val tokens: Int = 0,
        @CborLabel(5) val micros: Long = 0,
    ) : PeerMessage

    /** Announces a running request to a new pool owner. */
    @Serializable
    @SerialName("wr")
    data class WorkRunning(
        @CborLabel(1) val item: WorkItem,
        @CborLabel(2) val attempt: Int,
        @CborLabel(3) val placed: PlacementOutcome.Placed,
    ) : PeerMessage

    /** Change number [sequence] of the sender's in-flight table; if [full], [added] replaces the whole table. */
    @Serializable
    @SerialName("if")
    data class InFlightDelta(
        @CborLabel(1) val sequence: Long,
        @CborLabel(2) val full: Boolean,
        @CborLabel(3) val added: List<InFlightAttempt>,
        @CborLabel(4) val removed: List<String>,
    ) : PeerMessage

    /** Reports a gap in the deltas and asks for the full table; [expected] is the sequence number expected next. */
    @Serializable
    @SerialName("ir")
    data class InFlightResync(@CborLabel(1) val expected: Long) : PeerMessage

    /** Asks the host that batches the claims of a data centre to append [claims]. */
    @Serializable
    @SerialName("cb")
    data class ClaimBatch(@CborLabel(1) val claims: List<Claim>) : PeerMessage

    /**
     * State that a host shares with all hosts, or with the coordinators of a large fleet; each message replaces the previous one of the same host.
     *
     * @property member the sender, so that hosts discover each other without the store.
     * @property sequence number of the message; incremented by one per message.
     * @property heard incarnations from which the sender recently received messages.
     * @property configuration version of the sender's configuration, or -1.
     * @property unreachable backend servers to which the sender recently could not connect.
     * @property settled whether the sender knows the admissions of a complete quota window.
     * @property changing engines that are changing their stage and accept no work.
     * @property directory store offset up to which the sender knows the backend servers, or -1; of the era [era].
     * @property outcomes calls to backend servers that ended since the previous message.
     * @property grants grants of coordinators that [loads] includes.
     * @property isReport whether the sender sends this message to the coordinators only.
     * @property ready whether the sender reports to the balancer that it serves callers.
     * @property parts crashes of engines that parts of prompts may have caused; null while there are none.
     * @property serverStates what backend servers stated about themselves since the previous message.
     * @property costs requests that ended since the previous message, as samples of the cost of their routes.
     * @property evacuations evacuations that the sender knows; null before it has read any state of the store.
     * @property drainMillis time for which a sender that stops accepts connections at most; null if it does not stop.
     * @property leaving backend servers that have announced to some host that they leave.
     * @property streams streams that began at the sender since the previous message; all that callers may still take up if a
     *   receiver did not get that message.
     */
    @Serializable
    @SerialName("go")
    data class Gossip(
        @CborLabel(1) val member: Member,
        @CborLabel(2) val sequence: Long,
        @CborLabel(3) val heard: List<Incarnation>,
        @CborLabel(4) val configuration: Long,
        @CborLabel(5) val directory: Long,
        @CborLabel(6) val usage: List<SharedUsage>,
        @CborLabel(7) val loads: List<SharedLoad>,
        @CborLabel(8) val attempts: List<SharedAttempts>,
        @CborLabel(11) val unreachable: List<BackendServerId> = emptyList(),
        @CborLabel(10) val settled: Boolean = false,
        @CborLabel(9) val changing: List<BackendServerId> = emptyList(),
        @CborLabel(12) val outcomes: List<ServerOutcome> = emptyList(),
        @CborLabel(13) val grants: List<GrantsSeen> = emptyList(),
        @CborLabel(14) val isReport: Boolean = false,
        @CborLabel(18) val ready: Boolean = true,
        @CborLabel(19) val drainMillis: Int? = null,
        @CborLabel(20) val era: Long = 0,
        @CborLabel(21) val parts: PartReport? = null,
        @CborLabel(22) val leaving: List<LeavingServer> = emptyList(),
        @CborLabel(26) val serverStates: List<SharedServerState> = emptyList(),
        @CborLabel(27) val costs: List<CostSample> = emptyList(),
        @CborLabel(24) val evacuations: EvacuationReport? = null,
        @CborLabel(28) val streams: List<StreamStart> = emptyList(),
    ) : PeerMessage {
        val directoryPosition: StorePosition get() = StorePosition(era, directory)
    }

    /**
     * Asks for state that is newer than what the sender knows.
     *
     * @property configuration version of the sender's configuration, or -1.
     * @property directory store offset up to which the sender knows the backend servers, or -1; of the era [era].
     * @property replaces whether the sender replaces all that it knows of the backend servers by the answers, page by page;
     *   null from a host that expects all entries in one answer.
     */
    @Serializable
    @SerialName("sq")
    data class StateRequest(
        @CborLabel(1) val configuration: Long,
        @CborLabel(2) val directory: Long,
        @CborLabel(3) val era: Long = 0,
        @CborLabel(4) val replaces: Boolean? = null,
    ) : PeerMessage {
        val directoryPosition: StorePosition get() = StorePosition(era, directory)
    }

    /**
     * Forwards entries of the store.
     *
     * @property directory store offset up to which [backends] is complete, of the era [era]; -1 without backend servers.
     * @property page which part of the entries [backends] is; null if it is all of them.
     */
    @Serializable
    @SerialName("sa")
    class SharedState(
        @CborLabel(1) val configuration: StoredEntry?,
        @CborLabel(2) val backends: List<StoredEntry>,
        @CborLabel(3) val directory: Long,
        @CborLabel(4) val era: Long = 0,
        @CborLabel(5) val page: StatePageInfo? = null,
    ) : PeerMessage {
        val directoryPosition: StorePosition get() = StorePosition(era, directory)
    }
}
