package io.anvilvalve.rules.release

import io.anvilvalve.api.id.ModelId
import io.anvilvalve.api.port.EngineTarget
import io.anvilvalve.api.release.Role

/**
 * Slots per pool that engines serve now against those that the release names.
 *
 * An engine that [mayBeChangingRole] counts only for the pools that it keeps.
 */
internal class PoolCapacity(
    engines: Collection<EngineProgress>,
    private val mayBeChangingRole: (EngineProgress) -> Boolean,
) {
    internal data class Pool(val role: Role, val model: ModelId)

    private val required = HashMap<Pool, Int>()
    private val available = HashMap<Pool, Int>()

    init {
        engines.forEach { engine ->
            pools(engine.target).forEach { required.merge(it, engine.server.slots, Int::plus) }
            countedPools(engine).forEach { available.merge(it, engine.server.slots, Int::plus) }
        }
    }

    /** Whether every pool that [engine] leaves keeps what the release names. */
    fun allows(engine: EngineProgress): Boolean {
        val counted = countedPools(engine)
        return vacatedPools(engine).all { pool ->
            val own = if (pool in counted) engine.server.slots else 0
            available.getOrDefault(pool, 0) - own >= required.getOrDefault(pool, 0)
        }
    }

    /** Takes out what [engine] leaves. */
    fun deductVacated(engine: EngineProgress) {
        val counted = countedPools(engine)
        vacatedPools(engine).filter { it in counted }.forEach { available.merge(it, -engine.server.slots, Int::plus) }
    }

    private fun countedPools(engine: EngineProgress): Set<Pool> {
        val served = engine.observed?.let { pools(it) }.orEmpty()
        return if (mayBeChangingRole(engine)) served.intersect(pools(engine.target)) else served
    }

    private fun vacatedPools(engine: EngineProgress): Set<Pool> =
        engine.observed?.let { pools(it) - pools(engine.target) }.orEmpty()

    private fun pools(state: EngineTarget): Set<Pool> = state.models.keys.mapTo(HashSet()) { Pool(state.role, it) }
}
