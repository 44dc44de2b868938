package io.anvilvalve.standins

import io.anvilvalve.api.port.KvHandle
import java.util.concurrent.ConcurrentHashMap
import kotlin.time.Duration

/** Starts and ends KV transfers between the engines of one process, which are found by name. */
class LocalKvNetwork : KvNetwork {
    private val engines = ConcurrentHashMap<String, FakeEngine>()

    internal fun register(engine: FakeEngine) {
        engines[engine.name] = engine
    }

    override suspend fun begin(handle: KvHandle): Duration? = engines[handle.engineId]?.beginExport(handle.requestId)

    override suspend fun end(handle: KvHandle): Boolean = engines[handle.engineId]?.endExport(handle.requestId) ?: false
}
