package io.anvilvalve.standins

import io.anvilvalve.api.port.EngineOrder
import io.anvilvalve.api.port.EngineTarget
import kotlin.time.Duration

/** Current role and models of an engine, and the ordered change in progress. */
internal class OrderState(initial: EngineTarget, private val checksFencing: Boolean, private val orderTime: Duration) {
    private var current = initial
    private var ordered = initial
    private var readyAt = Duration.ZERO
    private var newestFencingToken = Long.MIN_VALUE

    /** Accepts [order]; returns false if its fencing token is outdated. Repeating the ordered target has no effect. */
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
