package io.anvilvalve.bench.policy

import kotlin.math.ln
import kotlin.random.Random

/** Draws the requests of a run, with independent Poisson arrivals per organisation and kind of request. */
internal class Arrivals(private val workload: Workload, private val capacity: Capacity) {
    private val lengths = Lengths(workload)

    fun draw(load: Double, seed: Long): List<Request> {
        val random = Random(seed)
        val arrivals = workload.organisations.flatMap { organisation ->
            organisation.mix.keys.flatMap { kind ->
                val spec = workload.requests.getValue(kind)
                val rate = load * organisation.rateFactor * capacity.requestRate(organisation, spec)
                arrivalTimes(rate, random).map { Triple(it, organisation, spec) }
            }
        }
        return arrivals.sortedBy { it.first }.mapIndexed { number, (at, organisation, spec) ->
            request(number, at, organisation, spec, random)
        }
    }

    private fun arrivalTimes(rate: Double, random: Random): List<Long> {
        val times = ArrayList<Long>()
        var at = 0.0
        while (rate > 0.0) {
            at -= ln(1.0 - random.nextDouble()) / rate * MICROS_PER_SECOND
            if (at >= workload.durationMicros) break
            times.add(at.toLong())
        }
        return times
    }

    private fun request(
        number: Int,
        at: Long,
        organisation: OrganisationSpec,
        spec: RequestSpec,
        random: Random,
    ): Request {
        val (prompt, output) = lengths.sample(spec, random)
        return Request(
            number,
            organisation,
            spec,
            drawHost(random),
            at,
            prompt,
            output,
            prefixHashes(number, organisation, spec, prompt, random),
        )
    }

    /** Hashes of the prompt pieces. Pieces of a shared prefix have equal hashes in many requests; others are unique. */
    private fun prefixHashes(
        number: Int,
        organisation: OrganisationSpec,
        spec: RequestSpec,
        prompt: Int,
        random: Random,
    ): List<Long> {
        val variant = random.nextInt(spec.prefixes.coerceAtLeast(1))
        return List(prompt / PIECE_TOKENS) { piece ->
            val shared = (piece + 1) * PIECE_TOKENS <= spec.sharedTokens
            val name = if (shared) "${organisation.name}/${spec.name}/$variant/$piece" else "$number/$piece"
            name.hashCode().toLong() * HASH_FACTOR + piece
        }
    }

    private fun drawHost(random: Random): HostSpec {
        var remaining = random.nextDouble() * workload.hosts.sumOf { it.weight }
        return workload.hosts.firstOrNull {
            remaining -= it.weight
            remaining < 0
        } ?: workload.hosts.last()
    }

    private companion object {
        const val HASH_FACTOR = 1_000_003L
    }
}
