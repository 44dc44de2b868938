package io.anvilvalve.demo

import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.id.RequestId
import io.anvilvalve.api.port.BackendServerClient
import io.anvilvalve.api.port.EngineRequest
import io.anvilvalve.api.release.Role
import io.anvilvalve.standins.EngineConfig
import io.anvilvalve.standins.FakeEngine
import io.anvilvalve.standins.FakeLiveHostList
import io.anvilvalve.standins.FakeLogService
import io.anvilvalve.standins.FakePlainService
import io.anvilvalve.standins.http.HttpKvNetwork
import io.anvilvalve.standins.http.serveEngine
import io.anvilvalve.standins.http.serveLiveList
import io.anvilvalve.standins.http.serveLog
import io.anvilvalve.standins.http.servePlainService

/** Backend servers and platform services of the demo, each with its HTTP server on loopback. */
internal class Standins : AutoCloseable {
    private val network = HttpKvNetwork()
    val log = FakeLogService()
    val logServer = serveLog(log)
    val liveList = FakeLiveHostList()
    val liveListServer = serveLiveList(liveList)
    val service = FakePlainService()
    val serviceServer = servePlainService(service)
    val engines: Map<BackendServerId, DemoEngine> =
        (engines(Role.PREFILL, count = 3) + engines(Role.DECODE, count = 4))
            .associateBy { BackendServerId(it.engine.name) }

    val decodeEngines: List<DemoEngine> get() = engines.values.filter { it.engine.config.role == Role.DECODE }

    /** Returns the attempts that hold memory in an engine, each preceded by the engine's name. */
    fun heldAttempts(): List<String> =
        engines.values.flatMap { demo -> demo.engine.held().map { "${demo.engine.name} $it" } }

    /**
     * Sends some requests to each engine directly.
     *
     * The first calls in a new process load classes, which takes hundreds of milliseconds; without a warm-up, hosts
     * would treat the engines as slow.
     */
    suspend fun warmUp(client: BackendServerClient) {
        val models = DemoRelease.models.map { it.id }
        engines.values.forEach { engine ->
            val server = engine.toBackendServer(models)
            repeat(WARM_UP_CALLS) { attempt ->
                val request =
                    EngineRequest(
                        RequestId("warm-up"),
                        attempt,
                        models.first(),
                        "warm up",
                        promptTokens = 2,
                        maxTokens = 4,
                    )
                if (server.role == Role.PREFILL) client.prefill(server, request)
                if (server.role == Role.DECODE) client.decode(server, request, kv = null).collect { }
                client.cancel(server, request.engineId)
            }
        }
    }

    override fun close() {
        engines.values.forEach { it.server.close() }
        listOf(logServer, liveListServer, serviceServer).forEach { it.close() }
    }

    private fun engines(role: Role, count: Int): List<DemoEngine> = (1..count).map { number ->
        val config = EngineConfig(role = role, models = DemoRelease.models.associate { it.id to it.version })
        val engine = FakeEngine("${role.name.lowercase()}-$number", config, network)
        DemoEngine(engine, serveEngine(engine), DemoRelease.DATA_CENTRES[number % DemoRelease.DATA_CENTRES.size])
    }

    private companion object {
        const val WARM_UP_CALLS = 20
    }
}
