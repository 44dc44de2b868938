package io.anvilvalve.bench.policy

import io.anvilvalve.api.peer.WorkClass
import io.anvilvalve.api.release.Role

/**
 * A deployment and its traffic, as a workload file describes it. Times are in microseconds.
 *
 * @property loads offered loads as multiples of the capacity of each pool.
 * @property warmupMicros time at the start for which requests are not counted.
 * @property cooldownMicros time at the end for which requests are not counted, so that a backlog served after the last
 *   arrival adds nothing.
 * @property kvLifetimeMicros time for which an engine keeps a prefill result for its transfer.
 * @property speedSpread when over 1, every other worker is that much slower.
 * @property cacheGapRatio share of the cache events that are lost.
 */
internal data class Workload(
    val name: String,
    val loads: List<Double>,
    val durationMicros: Long,
    val warmupMicros: Long,
    val cooldownMicros: Long,
    val kvBytesPerToken: Long,
    val kvLifetimeMicros: Long,
    val localLatencyMicros: Long,
    val crossCentreLatencyMicros: Long,
    val reportIntervalMicros: Long,
    val reportLagMicros: Long,
    val cacheLagMicros: Long,
    val cacheGapRatio: Double,
    val prefillNoise: Double,
    val speedSpread: Double,
    val hosts: List<HostSpec>,
    val organisations: List<OrganisationSpec>,
    val requests: Map<String, RequestSpec>,
    val workers: List<WorkerSpec>,
    val faults: List<FaultSpec>,
) {
    val models: List<String> get() = workers.map { it.model }.distinct()

    /** One-way latency between a host or worker in data centre [from] and one in [to]. */
    fun latency(from: String, to: String): Long = if (from == to) localLatencyMicros else crossCentreLatencyMicros
}

/** An entry host that receives [weight] of the requests. */
internal data class HostSpec(val name: String, val dataCentre: String, val weight: Double)

/** An organisation that sends requests in the ratios of [mix], at [rateFactor] times its rate. */
internal data class OrganisationSpec(
    val name: String,
    val share: Double,
    val mix: Map<String, Double>,
    val rateFactor: Double,
)

/**
 * A kind of request; lengths are log-normal with the median and sigma given here.
 *
 * @property prefixes distinct shared prefixes per organisation.
 */
internal data class RequestSpec(
    val name: String,
    val model: String,
    val workClass: WorkClass,
    val prompt: LengthSpec,
    val output: LengthSpec,
    val maxTokens: Int,
    val sharedTokens: Int,
    val prefixes: Int,
    val deadlineMicros: Long,
)

/** Distribution of a length in tokens. */
internal data class LengthSpec(val median: Double, val sigma: Double, val limit: Int)

/** A worker; [speed] divides all its times. */
internal data class WorkerSpec(
    val name: String,
    val model: String,
    val role: Role,
    val dataCentre: String,
    val speed: Double,
    val slots: Int,
    val kvPieces: Int,
    val cachePieces: Int,
    val prefillTokensPerSecond: Double,
    val prefillOverheadMicros: Double,
    val stepMicros: Double,
    val stepPerRequestMicros: Double,
    val linkBytesPerSecond: Long,
) {
    fun prefillMicros(tokens: Int): Double =
        (prefillOverheadMicros + tokens * MICROS_PER_SECOND / prefillTokensPerSecond) / speed

    fun stepMicros(running: Int): Double = (stepMicros + stepPerRequestMicros * running) / speed

    /** Most requests that the worker decodes at once with the time between tokens on target; 0 when it never is. */
    fun usableSlots(): Int = (slots downTo 1).firstOrNull { stepMicros(it) <= TOKEN_GAP_TARGET_MICROS } ?: 0
}

/** A fault of [worker] between two times; [speed] 0 means that its process is dead. */
internal data class FaultSpec(val worker: String, val fromMicros: Long, val toMicros: Long, val speed: Double)

internal const val MICROS_PER_SECOND = 1_000_000.0
internal const val MICROS_PER_MILLI = 1_000.0
internal const val TOKEN_GAP_TARGET_MICROS = 28_000.0

/** A prefill of 1,000 tokens takes an engine about as long as 60 output tokens. */
internal const val PROMPT_WEIGHT = 1.0 / 16
internal const val PIECE_TOKENS = 1_000

/** Tokens of a prompt and its answer, weighted by what they cost engines. */
internal fun tokenCost(promptTokens: Int, outputTokens: Int): Double = promptTokens * PROMPT_WEIGHT + outputTokens

internal fun pieces(tokens: Int): Int = (tokens + PIECE_TOKENS - 1) / PIECE_TOKENS
