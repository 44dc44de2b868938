package io.anvilvalve.bench.slopes

import java.lang.management.ManagementFactory

/** Measures the CPU time of the current thread and the live heap of the process. */
internal object CostMeter {
    private val threads = ManagementFactory.getThreadMXBean()
    private val memory = ManagementFactory.getMemoryMXBean()
    private const val GC_RUNS = 3
    private const val NANOS_PER_MICRO = 1_000.0

    /** CPU time of [block] on the current thread in microseconds. */
    fun cpuMicros(block: () -> Unit): Double {
        val start = threads.currentThreadCpuTime
        block()
        return (threads.currentThreadCpuTime - start) / NANOS_PER_MICRO
    }

    /** Result of [create] and the heap that it retains, in bytes. */
    fun <T> heapBytes(create: () -> T): Pair<T, Long> {
        val before = liveHeap()
        val result = create()
        return result to liveHeap() - before
    }

    private fun liveHeap(): Long {
        repeat(GC_RUNS) { memory.gc() }
        return memory.heapMemoryUsage.used
    }
}
