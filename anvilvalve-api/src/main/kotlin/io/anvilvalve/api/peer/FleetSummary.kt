package io.anvilvalve.api.peer

import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.log.Member
import io.anvilvalve.api.routing.StorePosition
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/**
 * State of the fleet that a coordinator tells all hosts; each message replaces the previous one of the same sender.
 *
 * @property number number of the message; incremented by one per message.
 * @property alive hash codes of the incarnations from which the sender recently received reports.
 * @property configuration version of the sender's configuration, or -1.
 * @property directory store offset at which the backend servers last changed, or -1; of the era [era].
 * @property storeAgeMillis time since the sender last read both from the store, in milliseconds.
 * @property available whether the sender places requests for other hosts.
 * @property evacuations evacuations that the sender knows; null before it has read any state of the store.
 * @property totals sums over all hosts; null from a coordinator to which too few hosts report.
 */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
@SerialName("fs")
data class FleetSummary(
    @CborLabel(1) val member: Member,
    @CborLabel(2) val number: Long,
    @CborLabel(3) val alive: List<Int>,
    @CborLabel(4) val configuration: Long,
    @CborLabel(5) val directory: Long,
    @CborLabel(6) val storeAgeMillis: Long,
    @CborLabel(7) val available: Boolean,
    @CborLabel(8) val totals: Totals? = null,
    @CborLabel(9) val era: Long = 0,
    @CborLabel(10) val evacuations: EvacuationReport? = null,
) : PeerMessage {
    val directoryPosition: StorePosition get() = StorePosition(era, directory)

    /**
     * Sums over all hosts that report to the sender.
     *
     * @property settled whether the sender knows the admissions of a complete quota window.
     * @property usage tokens that all hosts admitted in the last window.
     * @property loads requests at each backend server, including those granted and not yet reported.
     * @property attempts requests and retries of each service in the retry window.
     * @property changing engines that are changing their stage.
     * @property unreachable backend servers to which some host recently could not connect.
     * @property costs what requests of routes and organisations cost; a part of all keys in turn.
     * @property parts what all hosts know of crashes that parts of prompts may have caused; null while there are none.
     * @property leaving backend servers that have announced to some host that they leave.
     */
    @Serializable
    data class Totals(
        @CborLabel(1) val settled: Boolean,
        @CborLabel(2) val usage: List<SharedUsage>,
        @CborLabel(3) val loads: List<SharedLoad>,
        @CborLabel(4) val attempts: List<SharedAttempts>,
        @CborLabel(5) val changing: List<BackendServerId> = emptyList(),
        @CborLabel(6) val unreachable: List<BackendServerId> = emptyList(),
        @CborLabel(7) val parts: PartReport? = null,
        @CborLabel(8) val leaving: List<LeavingServer> = emptyList(),
        @CborLabel(11) val costs: List<SharedCost> = emptyList(),
    )
}
