package io.anvilvalve.verification

import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.id.DataCentreId
import io.anvilvalve.api.id.KeyHash
import io.anvilvalve.api.id.ModelId
import io.anvilvalve.api.id.OrganisationId
import io.anvilvalve.api.id.RouteId
import io.anvilvalve.api.release.BackendServer
import io.anvilvalve.api.release.Change
import io.anvilvalve.api.release.Key
import io.anvilvalve.api.release.Model
import io.anvilvalve.api.release.Organisation
import io.anvilvalve.api.release.Role
import io.anvilvalve.api.release.Route
import io.anvilvalve.core.HostEvent
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Three hosts, two organisations, two prefill and two decode engines, and a route whose calls are not repeatable. */
internal class Scenario(seed: Long) {
    val fleet = VirtualFleet(seed)
    val invariants = Invariants(
        fleet,
        mapOf(SMALL to Invariants.Limit(RATE, BURST), LARGE to Invariants.Limit(RATE * 20, BURST * 20)),
    )
    private var callCount = 0

    fun host(index: Int): VirtualHost = fleet.hosts.values.toList()[index % fleet.hosts.size]

    /** Starts the hosts, publishes the first release and runs until the token buckets have been refilled. */
    fun warmUp() {
        repeat(HOSTS) { fleet.start("h$it", BASE_PORT + it) }
        fleet.queue.runUntil(1.seconds)
        fleet.publish(*firstRelease())
        fleet.queue.runUntil(TRAFFIC_START)
    }

    /**
     * Schedules requests, calls and their repeats on all hosts, a second release, a prefill engine marked as leaving,
     * and a planned stop of the last host.
     */
    fun scheduleTraffic() {
        repeat(ROUNDS) { round ->
            fleet.queue.schedule((round * 700).milliseconds) { sendRound(round) }
        }
        fleet.queue.schedule(900.milliseconds) { fleet.publish(Change.PutModel(Model(ModelId("m"), version = "2"))) }
        fleet.queue.schedule(4.seconds) { markServerLeaving() }
        fleet.queue.schedule(10.seconds) { sendLateRequests() }
        fleet.queue.schedule(12.seconds) { fleet.deliver(host(HOSTS - 1), HostEvent.DrainRequested(60.seconds)) }
        fleet.queue.schedule(16.seconds) { sendLateRequests() }
    }

    private fun markServerLeaving() {
        val at = fleet.now
        val leaving = engine("p1", Role.PREFILL, fencing = true, leaving = true)
        fleet.publish(leaving) { fleet.history.leavingServers[BackendServerId("p1")] = at }
    }

    private fun sendLateRequests() = repeat(HOSTS) { i ->
        // A load balancer sends no requests to a host that is not ready.
        if (host(i).alive && host(i).status?.ready == true) {
            fleet.request(host(i), LARGE, "large-key", promptTokens = 300, maxTokens = 60)
        }
    }

    private fun sendRound(round: Int) {
        repeat(HOSTS) { i ->
            if (!host(i).alive) return@repeat
            fleet.request(host(i), LARGE, "large-key", promptTokens = 300, maxTokens = if (round == 1) 1_500 else 60)
            fleet.request(host(i), SMALL, "small-key", promptTokens = 100, maxTokens = 40)
        }
        val key = "loan-${callCount++}"
        repeatCall(key, round)
        fleet.queue.schedule(30.milliseconds) { repeatCall(key, round + 1) }
        fleet.queue.schedule(1_500.milliseconds) { repeatCall(key, round + 2) }
    }

    private fun repeatCall(key: String, index: Int) {
        if (host(index).alive) fleet.call(host(index), LARGE, "large-key", "loan", key)
    }

    fun withdrawKey(key: String) {
        val hash = KeyHash.of(key)
        if (hash in fleet.history.withdrawnKeys) return
        fleet.history.withdrawnKeys[hash] = fleet.now
        fleet.hosts.values.filter { it.alive }.forEach {
            fleet.deliver(it, HostEvent.KeyWithdrawn(hash))
        }
    }

    private fun firstRelease(): Array<Change> = arrayOf(
        Change.PutModel(Model(ModelId("m"))),
        engine("p0", Role.PREFILL),
        engine("p1", Role.PREFILL, fencing = true),
        engine("d0", Role.DECODE),
        engine("d1", Role.DECODE, fencing = true),
        Change.PutBackendServer(
            BackendServer(BackendServerId("s0"), "127.0.0.1:1", DataCentreId("dc-0"), Role.SERVICE),
        ),
        Change.PutBackendServer(
            BackendServer(BackendServerId("s1"), "127.0.0.1:2", DataCentreId("dc-1"), Role.SERVICE),
        ),
        Change.PutOrganisation(Organisation(SMALL, RATE, BURST, maxTokens = 500)),
        Change.PutOrganisation(Organisation(LARGE, RATE * 20, BURST * 20, maxTokens = 2_000)),
        Change.PutKey(Key(KeyHash.of("small-key"), SMALL)),
        Change.PutKey(Key(KeyHash.of("large-key"), LARGE)),
        Change.PutRoute(
            Route(RouteId("loan"), listOf(BackendServerId("s0"), BackendServerId("s1")), repeatable = false),
        ),
    )

    private fun engine(name: String, role: Role, fencing: Boolean = false, leaving: Boolean = false) =
        Change.PutBackendServer(
            BackendServer(
                id = BackendServerId(name),
                address = "127.0.0.1:${9000 + name.last().digitToInt() + role.ordinal * 10}",
                dataCentre = DataCentreId("dc-0"),
                role = role,
                models = listOf(ModelId("m")),
                checksFencing = fencing,
                leaving = leaving,
            ),
        )

    companion object {
        val SMALL = OrganisationId("small")
        val LARGE = OrganisationId("large")
        const val RATE = 100L
        const val BURST = 2_000L
        const val HOSTS = 3
        const val BASE_PORT = 7000
        const val ROUNDS = 4
        val TRAFFIC_START = 30.seconds
    }
}
