package io.anvilvalve.rules.release

import io.anvilvalve.api.log.Claim
import io.anvilvalve.api.log.KeptReply
import kotlinx.serialization.Serializable

/** Winning claim, its [reply] if known, and the milliseconds since the last record that named its call. */
@Serializable
data class KeptClaim(val claim: Claim, val reply: KeptReply?, val ageMillis: Long)
