package io.anvilvalve.rules.routing

import kotlin.time.Duration

/**
 * [tokens] of the quota [id], reserved [at] for a request that may still be refused.
 *
 * @property used tokens that all hosts had admitted in the window, as far as this host knew.
 * @property usageAge time since this host received the usage of the others; null if it never has.
 */
internal class QuotaReservation(
    val id: QuotaId,
    val tokens: Int,
    val at: Duration,
    val used: Long,
    val usageAge: Duration?,
)
