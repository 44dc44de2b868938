package io.anvilvalve.standins

import io.anvilvalve.api.id.ModelId
import io.anvilvalve.api.release.Role
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/**
 * Size, speed and habits of a [FakeEngine].
 *
 * @property slots requests decoded at once.
 * @property prefillSlots prompts computed at once; others wait in the engine.
 * @property kvPieces KV memory for running and exported requests.
 * @property cachePieces memory of the prefix cache, apart from [kvPieces].
 * @property queueLimit requests that may wait; more are refused.
 * @property tokenTime time between tokens of an idle engine.
 * @property tokenTimePerRequest time that each running request adds to it.
 * @property kvLifetime time for which a prefill result waits for its transfer.
 * @property transferLimit time for which a started transfer keeps the result.
 * @property loadInterval time between load reports; a report lags by up to this time.
 * @property cacheEventLag time after which a cache event can be read.
 * @property checksFencing whether orders with an old fencing number are refused.
 * @property orderTime time that an ordered change takes.
 * @property stopAfter tokens after which answers end with `stop`, or null when they run to their length.
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
    /** Returns this configuration with every time divided by [factor]. */
    fun faster(factor: Double): EngineConfig = copy(
        prefillTokensPerSecond = prefillTokensPerSecond * factor,
        tokenTime = tokenTime / factor,
        tokenTimePerRequest = tokenTimePerRequest / factor,
        linkBytesPerSecond = (linkBytesPerSecond * factor).toLong(),
        orderTime = orderTime / factor,
    )
}
