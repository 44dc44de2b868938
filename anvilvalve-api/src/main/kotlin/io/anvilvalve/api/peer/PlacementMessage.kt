package io.anvilvalve.api.peer

import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.id.RegionId
import io.anvilvalve.api.routing.ServiceId
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.cbor.CborLabel

/** Messages by which a coordinator selects backend servers for the requests of other hosts. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
sealed interface PlacementMessage : PeerMessage {
    /** Identifies the request among those of the host that asks. */
    val number: Long

    /**
     * Asks for a backend server of [service].
     *
     * @property waitedMillis time since the request arrived, in milliseconds.
     * @property agedMillis time since the caller's first attempt, in milliseconds; it determines the queue order.
     * @property objectiveMillis time left until the route's objective, in milliseconds; negative if it has passed.
     * @property returned whether the caller was refused before and has come back.
     * @property memoryTokens engine memory that the request needs, in tokens.
     * @property promptTokens prompt tokens to prefill; 0 if no prefill is needed.
     * @property avoided servers that must not be selected.
     * @property organisation organisation of the caller; null for open routes.
     * @property route name of the route.
     * @property deadlineMillis time left until the answer must be complete, in milliseconds.
     * @property regions regions to which the request may be sent; empty if there is no such limit.
     * @property costPercent expected cost of the request, in percent of the mean cost of a request to the service.
     * @property patienceMillis time left until the caller leaves unless a stream has an event, in milliseconds.
     * @property quotaTokens tokens that the request has reserved in the quota of [organisation] and that no coordinator has
     * confirmed; 0 if there are none.
     * @property usage usage of [organisation] at the host that asks, with [quotaTokens]; null if [quotaTokens] is 0.
     * @property stream hash code of the stream that the request goes on with, if the host that asks does not know its version.
     * @property version software version that the server must have; null if there is no such limit.
     */
    @Serializable
    @SerialName("mr")
    data class Request(
        @CborLabel(1) override val number: Long,
        @CborLabel(2) val service: ServiceId,
        @CborLabel(3) val urgency: Int,
        @CborLabel(4) val waitedMillis: Long,
        @CborLabel(5) val agedMillis: Long,
        @CborLabel(6) val objectiveMillis: Long,
        @CborLabel(7) val returned: Boolean,
        @CborLabel(8) val memoryTokens: Int,
        @CborLabel(9) val promptTokens: Int,
        @CborLabel(10) val avoided: List<BackendServerId> = emptyList(),
        @CborLabel(11) val organisation: OrganisationId? = null,
        @CborLabel(12) val route: String = "",
        @CborLabel(13) val deadlineMillis: Long = Long.MAX_VALUE,
        @CborLabel(14) val regions: List<RegionId> = emptyList(),
        @CborLabel(15) val costPercent: Int = 100,
        @CborLabel(18) val patienceMillis: Long = Long.MAX_VALUE,
        @CborLabel(19) val quotaTokens: Int = 0,
        @CborLabel(20) val usage: SharedUsage? = null,
        @CborLabel(21) val stream: Long? = null,
        @CborLabel(22) val version: String? = null,
    ) : PlacementMessage

    /** The request waits for capacity. */
    @Serializable
    @SerialName("mq")
    data class Queued(@CborLabel(1) override val number: Long) : PlacementMessage

    /**
     * Grants capacity at [server], and at [prefill] for the prompt; without [prefill], [server] processes the prompt.
     *
     * @property grant number of the grant; the numbers of a coordinator increase.
     * @property tokensAhead prompt tokens queued at [prefill] ahead of this prompt.
     */
    @Serializable
    @SerialName("mg")
    data class Placed(
        @CborLabel(1) override val number: Long,
        @CborLabel(2) val grant: Long,
        @CborLabel(3) val server: BackendServerId,
        @CborLabel(4) val prefill: BackendServerId? = null,
        @CborLabel(5) val tokensAhead: Int = 0,
    ) : PlacementMessage

    /**
     * The request cannot be placed in time.
     *
     * @property waitMillis expected time until there is capacity for the caller, in milliseconds.
     * @property reason name of the limit that the wait would exceed; null if unknown.
     * @property sharePermille part of the recently placed work that was for the organisation; null if unknown.
     */
    @Serializable
    @SerialName("mx")
    data class Refused(
        @CborLabel(1) override val number: Long,
        @CborLabel(2) val waitMillis: Long,
        @CborLabel(5) val reason: String? = null,
        @CborLabel(6) val sharePermille: Int? = null,
    ) : PlacementMessage

    /** The receiver of the request does not place requests for others. */
    @Serializable
    @SerialName("md")
    data class Declined(@CborLabel(1) override val number: Long) : PlacementMessage

    /**
     * The call to [server], for which the coordinator gave the grant [grant], has ended; sent at once, because reports of
     * loads are batched.
     *
     * @property callMillis duration of the call as the host measured it, in milliseconds; null if there was no call.
     * @property rejected whether the server had no capacity for the call.
     */
    @Serializable
    @SerialName("me")
    data class Released(
        @CborLabel(1) override val number: Long,
        @CborLabel(2) val grant: Long,
        @CborLabel(3) val server: BackendServerId,
        @CborLabel(4) val callMillis: Int? = null,
        @CborLabel(5) val rejected: Boolean = false,
    ) : PlacementMessage

    /** The request needs no capacity any more. */
    @Serializable
    @SerialName("mc")
    data class Cancelled(@CborLabel(1) override val number: Long) : PlacementMessage
}
