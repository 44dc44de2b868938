package io.anvilvalve.demo

import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger

/** Violations found by the demo scenario, and the number of checks made. */
internal class Findings {
    private val recorded = ConcurrentLinkedQueue<String>()
    private val counter = AtomicInteger()

    val violations: List<String> get() = recorded.toList()
    val checkCount: Int get() = counter.get()

    /** Counts a check and records [violation] unless it is null. */
    fun recordCheck(violation: String?) {
        counter.incrementAndGet()
        if (violation != null) recorded += violation
    }

    /** Counts a check and records [violation] unless [holds]. */
    fun expect(holds: Boolean, violation: () -> String) = recordCheck(if (holds) null else violation())
}
