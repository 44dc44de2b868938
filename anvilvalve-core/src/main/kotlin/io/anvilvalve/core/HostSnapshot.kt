package io.anvilvalve.core

import io.anvilvalve.rules.fleet.FleetSnapshot
import io.anvilvalve.rules.release.ReleaseSnapshot
import kotlinx.serialization.Serializable

/** All state derived from the log, as of one offset. */
@Serializable
internal data class HostSnapshot(val fleet: FleetSnapshot, val release: ReleaseSnapshot)
