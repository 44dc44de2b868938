package io.anvilvalve.rules.routing

import kotlin.math.exp
import kotlin.time.Duration

/** Sum whose parts lose their weight exponentially with the time constant [time]. */
internal class DecayingSum(private val time: Duration) {
    private var value = 0.0
    private var updatedAt = Duration.ZERO

    fun add(amount: Double, now: Duration) {
        value = at(now) + amount
        updatedAt = now
    }

    fun at(now: Duration): Double = if (value == 0.0) 0.0 else value * exp(-((now - updatedAt) / time))
}
