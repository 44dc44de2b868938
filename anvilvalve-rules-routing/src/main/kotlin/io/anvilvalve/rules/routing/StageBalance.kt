package io.anvilvalve.rules.routing

import io.anvilvalve.api.id.BackendServerId
import io.anvilvalve.api.routing.Backend
import io.anvilvalve.api.routing.EngineSpec
import io.anvilvalve.api.routing.ServiceSpec
import io.anvilvalve.api.routing.Stage
import kotlin.time.Duration
import kotlin.time.DurationUnit

/** A change of an engine to [stage]. */
internal data class StageChange(val server: Backend, val stage: Stage)

/**
 * Decides how many engines of a service run prefill and how many run decode.
 *
 * The shares follow the engine time that requests take in each stage; until enough requests have been measured, the
 * operators' setting applies. Only one engine changes at a time, and only if the split is off by more than [TOLERANCE]
 * engines, because a changing engine serves nothing for some seconds.
 */
internal class StageBalance(
    private val out: Outbox,
    private val directory: Directory,
    private val loads: ServerLoads,
    private val settings: RoutingSettings,
) {
    private var prefillSeconds = 0.0
    private var decodeSeconds = 0.0
    private var samples = 0
    private val imbalancedSince = HashMap<String, Duration>()
    private val switching = HashMap<BackendServerId, Pair<Stage, Duration>>()

    /** Engines that are changing their stage and accept no work. */
    val changing: List<BackendServerId> get() = switching.keys.toList()

    /** Records that a prefill took [elapsed] of engine time. */
    fun recordPrefill(elapsed: Duration) {
        prefillSeconds = mean(prefillSeconds, elapsed.toDouble(DurationUnit.SECONDS))
    }

    /** Records an answer that reserved [tokens] of an engine's memory at its end and took [elapsed]. */
    fun recordDecode(elapsed: Duration, tokens: Int, engine: EngineSpec) {
        samples++
        decodeSeconds = mean(decodeSeconds, elapsed.toDouble(DurationUnit.SECONDS) * tokens / engine.memoryTokens)
    }

    /** Records that [change] was ordered; the engine is available again after [EngineSpec.switchTime]. */
    fun recordOrder(change: StageChange, engine: EngineSpec) {
        switching[change.server.id] = change.stage to out.now + engine.switchTime
    }

    fun tick() {
        switching.values.removeIf { it.second <= out.now }
    }

    /**
     * The next change for [service], or null if the split is within the tolerance or has not been off for long enough.
     */
    fun nextChange(service: ServiceSpec): StageChange? {
        if (service.engine == null) return null
        val engines = directory.of(service.id).filter { !it.leaving && it.stage != null }
        val prefillEngines = engines.filter { stageOf(it) == Stage.PREFILL }
        val surplus = prefillEngines.size - prefillShare() * engines.size
        val key = service.id.value
        if (engines.size < MIN_ENGINES || (surplus in -TOLERANCE..TOLERANCE && prefillEngines.isNotEmpty())) {
            imbalancedSince.remove(key)
            return null
        }
        val since = imbalancedSince.getOrPut(key) { out.now }
        if (out.now - since < RoutingTimes.IMBALANCE_DELAY) return null
        val (from, to) = if (surplus > 0) Stage.PREFILL to Stage.DECODE else Stage.DECODE to Stage.PREFILL
        val candidates = engines.filter { it.stage == from && it.id !in switching }.ifEmpty { return null }
        return StageChange(candidates.minWith(compareBy({ loads.tokens(it.id) }, { it.id.value })), to)
    }

    private fun stageOf(server: Backend) = switching[server.id]?.first ?: server.stage

    private fun prefillShare(): Double {
        if (samples < MIN_SAMPLES || prefillSeconds + decodeSeconds <= 0.0) return settings.prefillShare
        return (prefillSeconds / (prefillSeconds + decodeSeconds)).coerceIn(MIN_PREFILL_SHARE, MAX_PREFILL_SHARE)
    }

    private fun mean(mean: Double, value: Double) =
        if (mean == 0.0) value else mean * (1 - SAMPLE_WEIGHT) + value * SAMPLE_WEIGHT

    private companion object {
        /** With fewer engines, a change would remove too much capacity from a stage. */
        const val MIN_ENGINES = 4

        /** Number of engines by which the split may be off. */
        const val TOLERANCE = 0.75
        const val MIN_SAMPLES = 40
        const val MIN_PREFILL_SHARE = 0.15
        const val MAX_PREFILL_SHARE = 0.6
        const val SAMPLE_WEIGHT = 0.05
    }
}
