package io.anvilvalve.standins

import io.anvilvalve.api.id.ModelId
import io.anvilvalve.api.release.Role
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Capacity, speed and behaviour of a [FakeEngine].
 *
 * @property slots requests decoded at once.
 * @property prefillSlots prompts computed at once; further ones wait in the queue.
 * @property kvPieces KV memory for running and exported requests, in pieces.
 * @property cachePieces capacity of the prefix cache in pieces, not part of [kvPieces].
 * @property queueLimit requests that may wait; further ones are refused.
 * @property tokenTime time between tokens, without the part that [tokenTimePerRequest] adds.
 * @property tokenTimePerRequest time that each running request adds to [tokenTime].
 * @property kvLifetime time after which a prefill result expires if no transfer has started.
 * @property transferLimit time after its start at which a transfer expires and the result is freed.
 * @property loadInterval time between load reports, and so the highest age of a report.
 * @property cacheEventLag time from a cache event until it is readable.
 * @property checksFencing whether orders with an outdated fencing token are refused.
 * @property orderTime time from an order until its change takes effect.
 * @property stopAfter tokens after which answers finish with reason `stop`; null if they run to `max_tokens`.
 */
data class EngineConfig(
    val role: Role = Role.DECODE,
    val models: Map<ModelId, String> = mapOf(ModelId("map-reader") to "1"),
    val slots: Int = 20,
    val prefillSlots: Int = 1,
    val kvPieces: Int = 400,
    val cachePieces: Int = 64,
    val queueLimit: Int = 256,
    val prefillTokensPerSecond: Double = 10_000.0,
    val tokenTime: Duration = 10.milliseconds,
    val tokenTimePerRequest: Duration = 0.8.milliseconds,
    val kvLifetime: Duration = 800.milliseconds,
    val transferLimit: Duration = 5.seconds,
    val kvBytesPerToken: Long = 131_072,
    val linkBytesPerSecond: Long = 10_000_000_000,
    val loadInterval: Duration = 500.milliseconds,
    val cacheEventLag: Duration = 200.milliseconds,
    val checksFencing: Boolean = true,
    val orderTime: Duration = 2.seconds,
    val stopAfter: Int? = null,
) {
    /** Returns a copy with compute, link and order speed multiplied by [factor]; lifetimes, limits and lags stay. */
    fun faster(factor: Double): EngineConfig = copy(
        prefillTokensPerSecond = prefillTokensPerSecond * factor,
        tokenTime = tokenTime / factor,
        tokenTimePerRequest = tokenTimePerRequest / factor,
        linkBytesPerSecond = (linkBytesPerSecond * factor).toLong(),
        orderTime = orderTime / factor,
    )
}
