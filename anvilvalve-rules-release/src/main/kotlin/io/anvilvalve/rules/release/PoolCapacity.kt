package io.anvilvalve.rules.release

import io.anvilvalve.api.id.ModelId
import io.anvilvalve.api.port.EngineTarget
import io.anvilvalve.api.release.Role

/**
 * Compares the slots per pool that engines serve now with those that the release requires.
 *
 * An engine for which [mayBeChangingRole] holds counts only towards the pools that it stays in.
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

    /** Whether every pool that [engine] leaves retains at least the slots that the release requires. */
    fun allows(engine: EngineProgress): Boolean {
        val counted = countedPools(engine)
        return vacatedPools(engine).all { pool ->
            val own = if (pool in counted) engine.server.slots else 0
            available.getOrDefault(pool, 0) - own >= required.getOrDefault(pool, 0)
        }
    }

    /** Subtracts the slots of [engine] from the pools that it leaves. */
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
