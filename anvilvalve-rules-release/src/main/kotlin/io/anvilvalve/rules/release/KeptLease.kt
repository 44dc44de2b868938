package io.anvilvalve.rules.release

import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.id.LogOffset
import kotlinx.serialization.Serializable

/** Lease to issue engine orders; [fencing] is the offset of its record. */
@Serializable
data class KeptLease(val holder: Incarnation, val fencing: LogOffset)
