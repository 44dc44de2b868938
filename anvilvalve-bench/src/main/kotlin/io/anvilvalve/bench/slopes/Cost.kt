package io.anvilvalve.bench.slopes

import java.lang.management.ManagementFactory

/** Processor time and heap of the running thread and process. */
internal object Cost {
    private val threads = ManagementFactory.getThreadMXBean()
    private val memory = ManagementFactory.getMemoryMXBean()
    private const val COLLECTIONS = 3
    private const val NANOS_PER_MICRO = 1_000.0

    /** Processor time of [block] on this thread in microseconds. */
    fun cpuMicros(block: () -> Unit): Double {
        val start = threads.currentThreadCpuTime
        block()
        return (threads.currentThreadCpuTime - start) / NANOS_PER_MICRO
    }

    /** Heap that the result of [make] keeps, in bytes. */
    fun <T> heapBytes(make: () -> T): Pair<T, Long> {
        val before = liveHeap()
        val made = make()
        return made to liveHeap() - before
    }

    private fun liveHeap(): Long {
        repeat(COLLECTIONS) { memory.gc() }
        return memory.heapMemoryUsage.used
    }
}
