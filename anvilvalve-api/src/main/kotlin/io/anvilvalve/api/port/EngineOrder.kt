package io.anvilvalve.api.port

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** An order to reach [target]; [fencing] is the fencing token, the log offset of the issuer's lease. */
@Serializable
data class EngineOrder(@SerialName("order_id") val id: String, val fencing: Long, val target: EngineTarget)
