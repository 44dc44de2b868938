package io.anvilvalve.rules.release

import io.anvilvalve.api.id.ModelId
import io.anvilvalve.api.port.EngineTarget
import io.anvilvalve.api.release.Role

/** Slots per pool that engines serve now against those that the release names. */
internal class PoolCapacity(engines: Collection<EngineProgress>, private val isMoving: (EngineProgress) -> Boolean) {
    internal data class Pool(val role: Role, val model: ModelId)

    private val required = HashMap<Pool, Int>()
    private val available = HashMap<Pool, Int>()

    init {
        engines.filterNot { it.server.leaving }.forEach { engine ->
            val wanted = pools(engine.target)
            wanted.forEach { required.merge(it, engine.server.slots, Int::plus) }
            val served = engine.observed?.let { pools(it) }.orEmpty()
            val lasting = if (isMoving(engine)) served.intersect(wanted) else served
            lasting.forEach { available.merge(it, engine.server.slots, Int::plus) }
        }
    }

    /** Whether every pool that [engine] leaves keeps what the release names. */
    fun allows(engine: EngineProgress): Boolean = left(engine).all {
        available.getOrDefault(it, 0) - engine.server.slots >= required.getOrDefault(it, 0)
    }

    /** Takes out what [engine] leaves. */
    fun leave(engine: EngineProgress) = left(engine).forEach { available.merge(it, -engine.server.slots, Int::plus) }

    private fun left(engine: EngineProgress): Set<Pool> =
        if (isMoving(engine)) emptySet() else engine.observed?.let { pools(it) - pools(engine.target) }.orEmpty()

    private fun pools(state: EngineTarget): Set<Pool> = state.models.keys.mapTo(HashSet()) { Pool(state.role, it) }
}
