package io.anvilvalve.demo

import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.id.DataCentreId
import io.anvilvalve.api.id.ModelId
import io.anvilvalve.api.release.BackendServer
import io.anvilvalve.standins.FakeEngine
import io.anvilvalve.standins.http.StandinServer

/** An engine stand-in with its HTTP server. */
internal class DemoEngine(val engine: FakeEngine, val server: StandinServer, private val dataCentre: DataCentreId) {
    fun toBackendServer(models: List<ModelId>) = BackendServer(
        BackendServerId(engine.name),
        server.address,
        dataCentre,
        engine.config.role,
        models,
        slots = engine.config.slots,
        kvPieces = engine.config.kvPieces,
        linkBytesPerSecond = engine.config.linkBytesPerSecond,
        checksFencing = engine.config.checksFencing,
    )

    /** Simulates a crash: running streams break and the port is closed. */
    fun crash() {
        engine.kill()
        server.close()
    }
}
