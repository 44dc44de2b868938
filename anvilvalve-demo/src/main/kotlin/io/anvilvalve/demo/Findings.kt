package io.anvilvalve.demo

import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger

/** Violations that the job has found, and how much it has checked. */
internal class Findings {
    private val recorded = ConcurrentLinkedQueue<String>()
    private val counter = AtomicInteger()

    val violations: List<String> get() = recorded.toList()
    val checkCount: Int get() = counter.get()

    /** Notes [violation] unless it is null. */
    fun recordCheck(violation: String?) {
        counter.incrementAndGet()
        if (violation != null) recorded += violation
    }

    /** Notes [violation] unless [holds]. */
    fun expect(holds: Boolean, violation: () -> String) = recordCheck(if (holds) null else violation())
}
