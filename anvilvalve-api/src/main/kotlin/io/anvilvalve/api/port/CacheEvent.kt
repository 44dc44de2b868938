package io.anvilvalve.api.port

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A prefix that entered ([stored]) or left an engine's cache; a jump in [sequence] means that events are missing. */
@Serializable
data class CacheEvent(val sequence: Long, val stored: Boolean, @SerialName("prefix_hash") val prefixHash: Long)
