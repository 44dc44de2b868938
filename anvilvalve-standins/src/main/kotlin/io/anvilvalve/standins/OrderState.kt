package io.anvilvalve.standins

import io.anvilvalve.api.port.EngineOrder
import io.anvilvalve.api.port.EngineTarget
import kotlin.time.Duration

/** State of an engine and the ordered change that is under way. */
internal class OrderState(initial: EngineTarget, private val checksFencing: Boolean, private val orderTime: Duration) {
    private var current = initial
    private var ordered = initial
    private var readyAt = Duration.ZERO
    private var newestFencingToken = Long.MIN_VALUE

    /** Takes [order]; false when its fencing number is old. An order for the ordered target changes nothing. */
    @Synchronized
    fun accept(order: EngineOrder, now: Duration): Boolean {
        if (checksFencing && order.fencing < newestFencingToken) return false
        newestFencingToken = maxOf(newestFencingToken, order.fencing)
        completeDueChange(now)
        if (order.target != ordered) {
            ordered = order.target
            readyAt = now + orderTime
        }
        return true
    }

    /** Returns the state at [now]. */
    @Synchronized
    fun state(now: Duration): EngineTarget {
        completeDueChange(now)
        return current
    }

    private fun completeDueChange(now: Duration) {
        if (now >= readyAt) current = ordered
    }
}
