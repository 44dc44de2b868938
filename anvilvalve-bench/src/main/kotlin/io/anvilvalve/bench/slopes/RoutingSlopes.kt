package io.anvilvalve.bench.slopes

import kotlin.time.Duration.Companion.milliseconds

/** Measures the cost of the routing reducer by the number of peers, organisations and backend servers. */
internal class RoutingSlopes {
    /** Measurements by name; a measurement runs when its function is called. */
    val all: Map<String, () -> Slope> = linkedMapOf(
        "routing_heap_per_organisation" to
            { heap("routing_heap_per_organisation", ORGANISATIONS) { rig(organisations = it) } },
        "routing_heap_per_backend_server" to { heap("routing_heap_per_backend_server", SERVERS) { rig(servers = it) } },
        "routing_heap_per_host" to { heap("routing_heap_per_host", HOSTS) { rig(peers = it) } },
        "routing_idle_cpu_per_host" to ::idleCpu,
        "routing_idle_bytes_per_host" to ::idleBytes,
        "routing_frame_bytes_per_organisation" to ::frameBytes,
        "routing_cpu_per_request_by_server" to ::cpuPerRequest,
        "routing_bytes_per_request_by_host" to ::bytesPerRequest,
    )

    private fun rig(peers: Int = SMALL, organisations: Int = SMALL, servers: Int = SMALL) =
        RoutingRig(peers, organisations, servers)

    private fun heap(name: String, sizes: List<Int>, create: (Int) -> RoutingRig): Slope = Slope(
        name,
        "bytes",
        name.substringAfter("_per_"),
        sizes.map { n -> n.toDouble() to CostMeter.heapBytes { create(n).start() }.second.toDouble() },
    )

    private fun idleCpu(): Slope = Slope(
        "routing_idle_cpu_per_host",
        "us/s",
        "host",
        HOSTS.map { n ->
            val rig = rig(peers = n).start()
            repeat(WARM_UP_SECONDS) { rig.idleSecond() }
            n.toDouble() to CostMeter.cpuMicros { repeat(MEASURED_SECONDS) { rig.idleSecond() } } / MEASURED_SECONDS
        },
    )

    private fun idleBytes(): Slope = Slope(
        "routing_idle_bytes_per_host",
        "bytes/s",
        "host",
        HOSTS.map { n ->
            val rig = rig(peers = n).start()
            val before = rig.sentBytes
            repeat(MEASURED_SECONDS) { rig.idleSecond() }
            n.toDouble() to (rig.sentBytes - before).toDouble() / MEASURED_SECONDS
        },
    )

    private fun frameBytes(): Slope = Slope(
        "routing_frame_bytes_per_organisation",
        "bytes",
        "organisation",
        ORGANISATIONS.map { n ->
            val rig = rig(peers = 1, organisations = n).start()
            rig.idleSecond()
            val (bytes, frames) = rig.sentBytes to rig.sentFrames
            repeat(MEASURED_SECONDS) { rig.idleSecond() }
            n.toDouble() to (rig.sentBytes - bytes).toDouble() / (rig.sentFrames - frames)
        },
    )

    private fun cpuPerRequest(): Slope = Slope(
        "routing_cpu_per_request_by_server",
        "us",
        "backend server",
        SERVERS.map { n ->
            val rig = rig(peers = 1, servers = n).start()
            repeat(WARM_UP_REQUESTS) { rig.request(REQUEST_INTERVAL) }
            n.toDouble() to CostMeter.cpuMicros { repeat(REQUESTS) { rig.request(REQUEST_INTERVAL) } } / REQUESTS
        },
    )

    private fun bytesPerRequest(): Slope = Slope(
        "routing_bytes_per_request_by_host",
        "bytes",
        "host",
        HOSTS.map { n ->
            val rig = rig(peers = n).start()
            val before = rig.sentBytes
            repeat(REQUESTS) { rig.request(REQUEST_INTERVAL) }
            n.toDouble() to (rig.sentBytes - before).toDouble() / REQUESTS
        },
    )

    private companion object {
        const val SMALL = 5
        const val WARM_UP_SECONDS = 60
        const val MEASURED_SECONDS = 60
        const val WARM_UP_REQUESTS = 3_000
        const val REQUESTS = 1_000
        val HOSTS = listOf(7, 85, 350)
        val ORGANISATIONS = listOf(5, 100, 2_300)
        val SERVERS = listOf(4, 40, 400)

        /** 25 requests per second, which is the share of one host at the target size. */
        val REQUEST_INTERVAL = 40.milliseconds
    }
}
