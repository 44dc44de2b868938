package io.anvilvalve.api.port

import io.anvilvalve.api.id.AdapterId
import io.anvilvalve.api.id.ModelId
import io.anvilvalve.api.release.Role
import kotlinx.serialization.Serializable

/** State that an engine has or is ordered to reach; [models] maps each model to its version. */
@Serializable
data class EngineTarget(
    val role: Role,
    val models: Map<ModelId, String>,
    val adapters: Map<AdapterId, String> = emptyMap(),
)
