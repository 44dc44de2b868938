package io.anvilvalve.rules.scheduling

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/**
 * Settings of the circuit breaker of a backend server.
 *
 * @property threshold number of consecutive failures that opens the breaker.
 * @property openTime time until the first probe; doubles with each failed probe.
 * @property openTimeLimit longest time between two probes.
 */
data class BreakerSettings(
    val threshold: Int = 3,
    val openTime: Duration = 1.seconds,
    val openTimeLimit: Duration = 30.seconds,
)
