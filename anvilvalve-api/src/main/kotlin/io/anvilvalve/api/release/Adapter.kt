package io.anvilvalve.api.release

import io.anvilvalve.api.id.AdapterId
import io.anvilvalve.api.id.ModelId
import kotlinx.serialization.Serializable

/** An adapter of a model as a release describes it. */
@Serializable
data class Adapter(val id: AdapterId, val model: ModelId, val version: String = "1")
