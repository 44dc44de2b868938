package io.anvilvalve.net

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Upper bounds on calls to backend servers.
 *
 * @property prefill whole prefill call, including its wait inside the engine.
 * @property tokenGap time between two bytes of a stream.
 * @property control loads, cache events, states, orders and cancels.
 * @property service whole call to a plain service.
 */
data class EngineTimeouts(
    val prefill: Duration = 30.seconds,
    val tokenGap: Duration = 10.seconds,
    val control: Duration = 2.seconds,
    val service: Duration = 30.seconds,
)
