package io.anvilvalve.api.routing

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Properties of the model engines of a service.
 *
 * @property slots requests that an engine runs at once.
 * @property memoryTokens memory capacity of an engine, in tokens.
 * @property switchTime time during which an engine that changes its stage accepts no work.
 * @property tokensPerEvent tokens of the answer that one stream event represents.
 * @property handleLifetime time during which the result of a prefill can be fetched.
 */
data class EngineSpec(
    val slots: Int,
    val memoryTokens: Int,
    val handleLifetime: Duration,
    val tokensPerEvent: Int = 1,
    val switchTime: Duration = 10.seconds,
)
