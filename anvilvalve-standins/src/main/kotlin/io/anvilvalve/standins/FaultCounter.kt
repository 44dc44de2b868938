package io.anvilvalve.standins

import java.util.concurrent.atomic.AtomicInteger

/** Number of times that an injected fault still happens. */
class FaultCounter {
    private val remaining = AtomicInteger()

    /** Lets the fault happen for the next [count] occasions; 0 ends it. */
    fun next(count: Int = 1) = remaining.set(count)

    /** Uses one occasion up; false when there are none. */
    internal fun consume(): Boolean = remaining.getAndUpdate { if (it > 0) it - 1 else 0 } > 0
}
