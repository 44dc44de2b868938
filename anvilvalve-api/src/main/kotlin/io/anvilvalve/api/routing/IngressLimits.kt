package io.anvilvalve.api.routing

import kotlin.time.Duration
import kotlin.time.Duration.Companion.seconds

/** Limits on the size of requests, on the time to receive their headers, and on idle connections. */
data class IngressLimits(
    val maxHeaderBytes: Int = 16 * 1024,
    val maxBodyBytes: Int = 4 * 1024 * 1024,
    val headerTimeout: Duration = 3.seconds,
    val idleTimeout: Duration = 15.seconds,
)
