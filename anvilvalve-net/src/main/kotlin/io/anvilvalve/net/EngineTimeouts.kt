package io.anvilvalve.net

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Upper bounds on calls to backend servers.
 *
 * @property connect time until a connection is open.
 * @property prefill duration of a prefill call, including queueing in the engine.
 * @property tokenGap time between two bytes of a token stream.
 * @property control duration of a control call: load, cache events, state, order or cancel.
 * @property service duration of a call to a plain service.
 */
data class EngineTimeouts(
    val prefill: Duration = 30.seconds,
    val tokenGap: Duration = 10.seconds,
    val control: Duration = 2.seconds,
    val service: Duration = 30.seconds,
    val connect: Duration = 1.seconds,
)
