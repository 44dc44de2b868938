package io.anvilvalve.bench.policy

import io.anvilvalve.api.peer.WorkClass
import io.anvilvalve.api.release.Role

/**
 * A deployment and its traffic, as read from a workload file. Times are in microseconds.
 *
 * @property loads offered loads as multiples of the capacity of each pool.
 * @property warmupMicros time at the start of a run whose requests are not counted.
 * @property cooldownMicros time at the end of a run whose requests are not counted, so that a backlog served after the
 *   last arrival does not count.
 * @property kvLifetimeMicros time for which an engine keeps a prefill result for its transfer.
 * @property speedSpread factor by which every other worker is slower; 1 leaves speeds unchanged.
 * @property cacheGapRatio share of the cache events that are lost on the way to the policy.
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

    /** One-way latency between data centres [from] and [to], for hosts and workers. */
    fun latency(from: String, to: String): Long = if (from == to) localLatencyMicros else crossCentreLatencyMicros
}

/** An entry host; the share of requests that it receives is proportional to [weight]. */
internal data class HostSpec(val name: String, val dataCentre: String, val weight: Double)

/** An organisation that sends kinds of requests in the ratios of [mix], at [rateFactor] times its rate. */
internal data class OrganisationSpec(
    val name: String,
    val share: Double,
    val mix: Map<String, Double>,
    val rateFactor: Double,
)

/**
 * A kind of request.
 *
 * @property prefixes number of distinct shared prefixes per organisation.
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

/** Log-normal distribution of a length in tokens, clamped to [limit]. */
internal data class LengthSpec(val median: Double, val sigma: Double, val limit: Int)

/** A prefill or decode worker; all its times are divided by [speed]. */
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

    /** Largest number of running requests at which the token gap meets its target; 0 if it never does. */
    fun usableSlots(): Int = (slots downTo 1).firstOrNull { stepMicros(it) <= TOKEN_GAP_TARGET_MICROS } ?: 0
}

/** A fault that sets the speed of [worker] between two times; [speed] 0 means that its process is dead. */
internal data class FaultSpec(val worker: String, val fromMicros: Long, val toMicros: Long, val speed: Double)

internal const val MICROS_PER_SECOND = 1_000_000.0
internal const val MICROS_PER_MILLI = 1_000.0

/** Target for the mean time between the output tokens of an answer. */
internal const val TOKEN_GAP_TARGET_MICROS = 28_000.0

/** Cost of a prompt token in output tokens: a prefill of 1,000 tokens takes about as long as 60 output tokens. */
internal const val PROMPT_WEIGHT = 1.0 / 16

/** Tokens per piece, the unit of KV memory and of the prefix cache. */
internal const val PIECE_TOKENS = 1_000

/** Cost of a prompt and its answer in output tokens, weighted by the time that engines need for them. */
internal fun tokenCost(promptTokens: Int, outputTokens: Int): Double = promptTokens * PROMPT_WEIGHT + outputTokens

internal fun pieces(tokens: Int): Int = (tokens + PIECE_TOKENS - 1) / PIECE_TOKENS
