package io.anvilvalve.standins

import java.util.concurrent.atomic.AtomicInteger

/** Counter of the remaining occurrences of an injected fault. */
class FaultCounter {
    private val remaining = AtomicInteger()

    /** Injects the fault into the next [count] operations that it applies to; 0 turns it off. */
    fun next(count: Int = 1) = remaining.set(count)

    /** Consumes one occurrence; returns false if none remains. */
    internal fun consume(): Boolean = remaining.getAndUpdate { if (it > 0) it - 1 else 0 } > 0
}
