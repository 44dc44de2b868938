package io.anvilvalve.bench.policy

import io.anvilvalve.api.release.Role
import kotlin.math.exp
import kotlin.random.Random

/**
 * Capacity of each pool for the workload's mix of requests, with warm prefix caches and every decode slot in use.
 *
 * [requestRate] is the request rate of an organisation at load 1.
 */
internal class Capacity(private val workload: Workload) {
    private val lengths = Lengths(workload)

    /** Requests of kind [spec] per second from [organisation] when the offered load equals the capacity of the pool. */
    fun requestRate(organisation: OrganisationSpec, spec: RequestSpec): Double =
        requestsPerShare.getValue(spec.model) * organisation.share * (organisation.mix[spec.name] ?: 0.0)

    /** Token cost per second of the pool of [model] at capacity. */
    fun tokenRate(model: String): Double = workload.organisations.sumOf { tokenRate(it, model) }

    /** Token cost per second of [organisation] at load 1. */
    fun tokenRate(organisation: OrganisationSpec, model: String): Double =
        kindsOf(model).sumOf { requestRate(organisation, it) * means.getValue(it.name).tokenCost }

    private val means = workload.requests.mapValues { (_, spec) -> mean(spec) }
    private val requestsPerShare = workload.models.associateWith { requestsPerShare(it) }

    private fun kindsOf(model: String) = workload.requests.values.filter { it.model == model }

    /** Requests per second for each unit of share at which the bottleneck of the pool is fully used. */
    private fun requestsPerShare(model: String): Double {
        val weighted = kindsOf(model).map { kind ->
            workload.organisations.sumOf { it.share * (it.mix[kind.name] ?: 0.0) } to means.getValue(kind.name)
        }
        val prefillDemand = weighted.sumOf { (weight, mean) -> weight * mean.prefillTokens }
        val requestDemand = weighted.sumOf { (weight, _) -> weight }
        val decodeDemand = weighted.sumOf { (weight, mean) -> weight * mean.outputTokens }
        val prefills = workload.workers.filter { it.model == model && it.role == Role.PREFILL }
        val decodes = workload.workers.filter { it.model == model && it.role == Role.DECODE }
        // A prefill worker serves requests at the rate 1 / (prefill time of the mean request).
        val prefillRequestsPerShare = prefills.sumOf {
            MICROS_PER_SECOND / it.prefillMicros((prefillDemand / requestDemand).toInt())
        } / requestDemand
        return minOf(prefillRequestsPerShare, decodes.sumOf { decodeRate(it) } / decodeDemand)
    }

    private fun decodeRate(worker: WorkerSpec): Double {
        val running = worker.usableSlots()
        return if (running == 0) 0.0 else running * MICROS_PER_SECOND / worker.stepMicros(running)
    }

    private fun mean(spec: RequestSpec): MeanRequest {
        val random = Random(SAMPLE_SEED)
        val samples = List(SAMPLES) { lengths.sample(spec, random) }
        val cached = spec.sharedTokens / PIECE_TOKENS * PIECE_TOKENS
        return MeanRequest(
            samples.map { (prompt, _) -> (prompt - cached).coerceAtLeast(1) }.average(),
            samples.map { (_, output) -> output }.average(),
            samples.map { (prompt, output) -> tokenCost(prompt, output) }.average(),
        )
    }

    private class MeanRequest(val prefillTokens: Double, val outputTokens: Double, val tokenCost: Double)

    private companion object {
        const val SAMPLES = 20_000
        const val SAMPLE_SEED = 1
    }
}

/** Draws prompt lengths, answer lengths and the noise of prefill times. */
internal class Lengths(private val workload: Workload) {
    fun sample(spec: RequestSpec, random: Random): Pair<Int, Int> {
        val prompt = draw(spec.prompt, random).coerceAtLeast(spec.sharedTokens + 1)
        return prompt to draw(spec.output, random).coerceIn(1, spec.maxTokens)
    }

    /** Draws a log-normal factor for a prefill time. */
    fun prefillNoise(random: Random): Double = exp(workload.prefillNoise * random.gaussian())

    private fun draw(length: LengthSpec, random: Random): Int =
        (length.median * exp(length.sigma * random.gaussian())).toInt().coerceIn(MIN_TOKENS, length.limit)

    private fun Random.gaussian(): Double = asJava().nextGaussian()

    private fun Random.asJava() = java.util.Random(nextLong())

    private companion object {
        const val MIN_TOKENS = 10
    }
}
