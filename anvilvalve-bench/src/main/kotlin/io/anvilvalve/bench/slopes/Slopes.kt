package io.anvilvalve.bench.slopes

import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.release.Change
import io.anvilvalve.api.release.Organisation

/** Measures the control-plane cost at several sizes of each dimension, with the other dimensions small. */
internal class Slopes {
    /** Measurements by name; a measurement runs when its function is called. */
    val all: Map<String, () -> Slope> = linkedMapOf(
        "heap_per_organisation" to { heap("heap_per_organisation", ORGANISATIONS) { FleetSize(organisations = it) } },
        "heap_per_backend_server" to { heap("heap_per_backend_server", SERVERS) { servers(it) } },
        "heap_per_host" to { heap("heap_per_host", HOSTS) { FleetSize(hosts = it) } },
        "heap_per_running_request" to ::heapPerRunningRequest,
        "idle_cpu_per_organisation" to
            { idle("idle_cpu_per_organisation", ORGANISATIONS) { FleetSize(organisations = it) } },
        "idle_cpu_per_backend_server" to { idle("idle_cpu_per_backend_server", SERVERS) { servers(it) } },
        "idle_cpu_per_host" to { idle("idle_cpu_per_host", HOSTS) { FleetSize(hosts = it) } },
        "peer_bytes_per_host" to ::peerBytesPerHost,
        "cpu_per_change" to ::cpuPerChange,
        "log_bytes_per_change" to ::logBytesPerChange,
        "cpu_per_request" to ::cpuPerRequest,
        "peer_bytes_per_request" to ::peerBytesPerRequest,
    )

    private fun servers(count: Int) = FleetSize(servers = count, models = MODELS)

    private fun heap(name: String, sizes: List<Int>, fleet: (Int) -> FleetSize): Slope = Slope(
        name,
        "bytes",
        name.substringAfter("_per_"),
        sizes.map { n ->
            val (rig, bytes) = CostMeter.heapBytes { ReducerRig(fleet(n)).start() }
            n.toDouble() to bytes.toDouble() - rig.logBytes
        },
    )

    private fun heapPerRunningRequest(): Slope = Slope(
        "heap_per_running_request",
        "bytes",
        "running request",
        REQUESTS.map { n ->
            val size = FleetSize(hosts = 1, servers = RUNNING_SERVERS)
            val rig = ReducerRig(size).start()
            val driver = RequestDriver(rig, size)
            val (started, bytes) = CostMeter.heapBytes { (1..n).count { driver.startOnly() } }
            started.toDouble() to bytes.toDouble()
        },
    )

    private fun idle(name: String, sizes: List<Int>, fleet: (Int) -> FleetSize): Slope = Slope(
        name,
        "us/s",
        name.substringAfter("_per_"),
        sizes.map { n ->
            val rig = ReducerRig(fleet(n)).start()
            repeat(WARM_UP_TICKS) { rig.tick() }
            n.toDouble() to CostMeter.cpuMicros { repeat(MEASURED_TICKS) { rig.tick() } } / MEASURED_SECONDS
        },
    )

    private fun peerBytesPerHost(): Slope = Slope(
        "peer_bytes_per_host",
        "bytes/s",
        "host",
        HOSTS.map { n ->
            val rig = ReducerRig(FleetSize(hosts = n)).start()
            val before = rig.peerBytes
            repeat(MEASURED_TICKS) { rig.tick() }
            n.toDouble() to (rig.peerBytes - before) / MEASURED_SECONDS
        },
    )

    private fun cpuPerChange(): Slope = Slope(
        "cpu_per_change",
        "us",
        "change/s",
        CHANGES.map { n ->
            val rig = ReducerRig(TARGET).start()
            repeat(WARM_UP_CHANGES) { publishChange(rig, it) }
            n.toDouble() to CostMeter.cpuMicros { repeat(n) { publishChange(rig, it) } }
        },
    )

    private fun logBytesPerChange(): Slope = Slope(
        "log_bytes_per_change",
        "bytes",
        "change",
        CHANGES.map { n ->
            val rig = ReducerRig(FleetSize()).start()
            val before = rig.logBytes
            repeat(n) { publishChange(rig, it) }
            n.toDouble() to (rig.logBytes - before).toDouble()
        },
    )

    private fun publishChange(rig: ReducerRig, index: Int) {
        val organisation =
            Organisation(OrganisationId("org-${index % FleetSize().organisations}"), 1_000_000L + index, 4_000_000)
        rig.publish(listOf(Change.PutOrganisation(organisation)))
        rig.tick()
    }

    private fun cpuPerRequest(): Slope = Slope(
        "cpu_per_request",
        "us",
        "request",
        CHANGES.map { n ->
            val size = FleetSize(hosts = 1, servers = OWNED_SERVERS)
            val rig = ReducerRig(size).start()
            val driver = RequestDriver(rig, size)
            repeat(WARM_UP_REQUESTS) { runAndTick(rig, driver) }
            var complete = 0
            val micros = CostMeter.cpuMicros { repeat(n) { if (runAndTick(rig, driver)) complete++ } }
            check(complete == n) { "$complete of $n requests got a complete answer" }
            n.toDouble() to micros
        },
    )

    private fun peerBytesPerRequest(): Slope = Slope(
        "peer_bytes_per_request",
        "bytes",
        "request",
        FEW_REQUESTS.map { n ->
            val size = FleetSize(servers = 2)
            val rig = ReducerRig(size).start()
            val driver = RequestDriver(rig, size)
            val before = rig.peerBytes
            check((1..n).count { driver.runPlacedByPeer() } == n) { "not all requests got a complete answer" }
            n.toDouble() to (rig.peerBytes - before).toDouble()
        },
    )

    private fun runAndTick(rig: ReducerRig, driver: RequestDriver): Boolean = driver.run().also { rig.tick() }

    companion object {
        /** Fleet size that the design targets, two years ahead. */
        val TARGET = FleetSize(hosts = 350, organisations = 2_300, servers = 12_000, models = 12)

        private const val MODELS = 12
        private const val OWNED_SERVERS = 34
        private const val RUNNING_SERVERS = 200
        private const val WARM_UP_TICKS = 2_000
        private const val MEASURED_TICKS = 1_200
        private const val MEASURED_SECONDS = 60.0
        private const val WARM_UP_CHANGES = 50
        private const val WARM_UP_REQUESTS = 2_000
        private val ORGANISATIONS = listOf(100, 800, 2_300)
        private val SERVERS = listOf(100, 3_000, 12_000)
        private val HOSTS = listOf(7, 100, 350)
        private val REQUESTS = listOf(100, 500, 1_000)
        private val CHANGES = listOf(50, 200, 500)

        /** Few enough that the tokens held by one host cover all of them. */
        private val FEW_REQUESTS = listOf(20, 50, 100)
    }
}
