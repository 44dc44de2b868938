package io.anvilvalve.api.release

import io.anvilvalve.api.id.AdapterId
import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.id.KeyHash
import io.anvilvalve.api.id.ModelId
import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.id.ReleaseNumber
import io.anvilvalve.api.id.RouteId
import kotlinx.serialization.Serializable

/** All entries that the accepted release notes up to [number] have put and not withdrawn. */
@Serializable
data class Release(
    val number: ReleaseNumber = ReleaseNumber(0),
    val servers: Map<BackendServerId, BackendServer> = emptyMap(),
    val models: Map<ModelId, Model> = emptyMap(),
    val adapters: Map<AdapterId, Adapter> = emptyMap(),
    val organisations: Map<OrganisationId, Organisation> = emptyMap(),
    val keys: Map<KeyHash, Key> = emptyMap(),
    val routes: Map<RouteId, Route> = emptyMap(),
)
