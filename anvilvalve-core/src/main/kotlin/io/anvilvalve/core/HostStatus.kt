package io.anvilvalve.core

import io.anvilvalve.api.id.HostId
import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.id.LogOffset
import io.anvilvalve.api.id.ModelId
import io.anvilvalve.api.id.ReleaseNumber

/** Status of a host as shown to operators. */
data class HostStatus(
    val host: HostId,
    val incarnation: Incarnation,
    val release: ReleaseNumber,
    val appliedOffset: LogOffset,
    val current: Boolean,
    val ready: Boolean,
    val draining: Boolean,
    val members: List<Incarnation>,
    val models: List<ModelId>,
    val running: Int,
)
