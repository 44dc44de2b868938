package io.anvilvalve.rules.release

import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.id.LogOffset
import kotlinx.serialization.Serializable

/** Lease for issuing engine orders; [fencing] is the log offset of its record, used as the fencing token. */
@Serializable
data class KeptLease(val holder: Incarnation, val fencing: LogOffset)
