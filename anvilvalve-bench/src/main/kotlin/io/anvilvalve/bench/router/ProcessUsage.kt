package io.anvilvalve.bench.router

import com.sun.management.OperatingSystemMXBean
import com.sun.management.ThreadMXBean
import java.lang.management.ManagementFactory

/** CPU time and allocated bytes of this process, without those of the caller threads. */
internal class ProcessUsage(val cpuNanos: Long, val allocatedBytes: Long) {
    operator fun minus(earlier: ProcessUsage) =
        ProcessUsage(cpuNanos - earlier.cpuNanos, allocatedBytes - earlier.allocatedBytes)

    companion object {
        private val system = ManagementFactory.getOperatingSystemMXBean() as OperatingSystemMXBean
        private val threads = ManagementFactory.getThreadMXBean() as ThreadMXBean

        /** Reads the usage; [callers] must be alive. Misses allocations of threads that end between two reads. */
        fun of(callers: Collection<Thread>): ProcessUsage {
            val callerIds = callers.map { it.id }.toSet()
            val cpu = system.processCpuTime - callerIds.sumOf { threads.getThreadCpuTime(it).coerceAtLeast(0) }
            val others = threads.allThreadIds.filter { it !in callerIds }
            return ProcessUsage(cpu, others.sumOf { threads.getThreadAllocatedBytes(it).coerceAtLeast(0) })
        }
    }
}
