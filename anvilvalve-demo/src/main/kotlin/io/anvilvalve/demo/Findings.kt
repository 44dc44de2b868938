package io.anvilvalve.demo

import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger

/** Violations that the job has found, and how much it has checked. */
internal class Findings {
    private val found = ConcurrentLinkedQueue<String>()
    private val checks = AtomicInteger()

    val all: List<String> get() = found.toList()
    val checked: Int get() = checks.get()

    /** Notes [violation] unless it is null. */
    fun check(violation: String?) {
        checks.incrementAndGet()
        if (violation != null) found += violation
    }

    /** Notes [violation] unless [holds]. */
    fun expect(holds: Boolean, violation: () -> String) = check(if (holds) null else violation())
}
