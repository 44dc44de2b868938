package io.anvilvalve.api.release

import io.anvilvalve.api.id.AdapterId
import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.id.KeyHash
import io.anvilvalve.api.id.ModelId
import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.id.RouteId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** One change in a release note; a `Put` adds an entry or replaces it entirely. */
@Serializable
sealed interface Change {
    @Serializable
    @SerialName("put-backend-server")
    data class PutBackendServer(val server: BackendServer) : Change

    @Serializable
    @SerialName("withdraw-backend-server")
    data class WithdrawBackendServer(val id: BackendServerId) : Change

    @Serializable
    @SerialName("put-model")
    data class PutModel(val model: Model) : Change

    @Serializable
    @SerialName("withdraw-model")
    data class WithdrawModel(val id: ModelId) : Change

    @Serializable
    @SerialName("put-adapter")
    data class PutAdapter(val adapter: Adapter) : Change

    @Serializable
    @SerialName("withdraw-adapter")
    data class WithdrawAdapter(val id: AdapterId) : Change

    @Serializable
    @SerialName("put-organisation")
    data class PutOrganisation(val organisation: Organisation) : Change

    @Serializable
    @SerialName("withdraw-organisation")
    data class WithdrawOrganisation(val id: OrganisationId) : Change

    @Serializable
    @SerialName("put-key")
    data class PutKey(val key: Key) : Change

    @Serializable
    @SerialName("withdraw-key")
    data class WithdrawKey(val hash: KeyHash) : Change

    @Serializable
    @SerialName("put-route")
    data class PutRoute(val route: Route) : Change

    @Serializable
    @SerialName("withdraw-route")
    data class WithdrawRoute(val id: RouteId) : Change

    /** Declares, on the operator's authority, that an incarnation has ended permanently. */
    @Serializable
    @SerialName("host-gone")
    data class HostGone(val incarnation: Incarnation) : Change
}
