package io.anvilvalve.rules.release

import io.anvilvalve.api.log.Claim
import io.anvilvalve.api.log.KeptReply
import kotlinx.serialization.Serializable

/** A claim that won, its [reply] once there is one, and the milliseconds since the last record that named it. */
@Serializable
data class KeptClaim(val claim: Claim, val reply: KeptReply?, val ageMillis: Long)
