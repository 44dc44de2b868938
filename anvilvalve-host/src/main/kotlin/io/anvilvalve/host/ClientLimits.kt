package io.anvilvalve.host

import kotlin.time.TimeSource

/**
 * Limits on the clients of one process, derived from its heap and the descriptors and memory of its machine.
 *
 * @param maxRequests maximum number of concurrent requests.
 * @param configuredConnections maximum number of connections of callers if the settings state one.
 * @param maxDescriptors descriptors that the machine allows.
 * @param memoryBytes memory of the machine.
 */
internal class ClientLimits(
    maxRequests: Int,
    configuredConnections: Int?,
    maxDescriptors: Int,
    memoryBytes: Long,
    heapBytes: Long = Runtime.getRuntime().maxMemory(),
) {
    /** Bytes of bodies and answers; they may grow by half while an array is replaced by a larger one. */
    val heldBytes: Long = heapBytes / HELD_SHARE

    /** Bodies that are waited for; the other request threads serve requests that have arrived. */
    val maxBodies: Int = (maxRequests / 2).coerceAtLeast(1)

    /** Connections of callers. */
    val maxConnections: Int = configuredConnections ?: minOf(
        maxDescriptors - RESERVED_DESCRIPTORS - OTHER_DESCRIPTORS - maxRequests,
        (heapBytes / CONNECTION_HEAP_BYTES).toInt(),
        ((memoryBytes - heapBytes - OTHER_MEMORY_BYTES) / RECEIVE_BUFFER_BYTES).toInt(),
    ).coerceAtLeast(MIN_CONNECTIONS)

    /** Budget of [heldBytes]. */
    fun budget(time: TimeSource.WithComparableMarks, reports: LimitReports) =
        ByteBudget(heldBytes, maxBodies, time, reports)

    companion object {
        /** Bytes that the kernel receives for a connection before they are read: 1 ms at 140 Mbit/s is 17 KB. */
        const val RECEIVE_BUFFER_BYTES = 32 * 1024

        private const val HELD_SHARE = 4

        /** Descriptors that the platform's limit reserves. */
        private const val RESERVED_DESCRIPTORS = 200

        /** Jars, readiness and metrics, the store, and connections between 100 hosts. */
        private const val OTHER_DESCRIPTORS = 400

        /** Objects and buffers of an open connection, with a header that is arriving. */
        private const val CONNECTION_HEAP_BYTES = 48L * 1024

        /** Classes, compiled code and thread stacks. */
        private const val OTHER_MEMORY_BYTES = 96L * 1024 * 1024
        private const val MIN_CONNECTIONS = 64
    }
}
