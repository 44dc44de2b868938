package io.anvilvalve.cli

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Response body of `GET /admin/status`. */
@Serializable
internal data class HostStatus(
    val host: String,
    val incarnation: String,
    val release: Long,
    @SerialName("applied_offset") val appliedOffset: Long,
    val current: Boolean,
    val ready: Boolean = false,
    val draining: Boolean = false,
    val members: List<String> = emptyList(),
    val running: Int = 0,
)
