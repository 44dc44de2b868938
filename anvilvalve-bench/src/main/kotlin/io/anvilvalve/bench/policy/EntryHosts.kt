package io.anvilvalve.bench.policy

import io.anvilvalve.api.peer.Phase

/** The entry hosts of a run: they run placed requests on the engines, report steps and retry failed attempts. */
internal class EntryHosts(
    private val workload: Workload,
    private val simulation: Simulation,
    private val cluster: Cluster,
) : Origin {
    private val results = HashMap<Int, Result>()
    lateinit var policy: Policy

    /** Prompt tokens whose prefill result was decoded. */
    var decodedPrefillTokens = 0L
        private set

    fun arrive(request: Request) {
        request.attempt = 1
        policy.submit(request)
    }

    override fun refuse(request: Request, attempt: Int) {
        if (attempt != request.attempt) return
        if (attempt == 1) request.refused = true else request.failed = true
    }

    override fun place(request: Request, attempt: Int, place: Place) {
        if (attempt != request.attempt) return
        val result = results.remove(request.number)
        if (result != null && result.prefill == place.prefill && result.expiresAt > simulation.now) {
            return decode(request, attempt, place, result)
        }
        val engine = cluster.prefills.getValue(place.prefill)
        val latency = workload.latency(request.host.centre, engine.spec.centre)
        simulation.after(latency) {
            engine.prefill(request, place.priority) { micros ->
                val expiresAt = simulation.now + workload.kvLifetimeMicros
                simulation.after(latency) {
                    if (micros == null) {
                        failed(request, Step(attempt, Phase.PREFILL_FAILED))
                    } else {
                        policy.progress(request, Step(attempt, Phase.PREFILL_FINISHED, 0, micros))
                        decode(request, attempt, place, Result(place.prefill, expiresAt))
                    }
                }
            }
        }
        policy.progress(request, Step(attempt, Phase.PREFILL_STARTED))
    }

    private fun decode(request: Request, attempt: Int, place: Place, result: Result) {
        val engine = cluster.decodes.getValue(place.decode)
        val latency = workload.latency(request.host.centre, engine.spec.centre)
        simulation.after(latency) { engine.enter(Stream(request, attempt, engine, result, place.priority, latency)) }
    }

    private fun failed(request: Request, step: Step) {
        policy.progress(request, step)
        val late = request.firstTokenAt == 0L && simulation.now > request.deadline
        if (late || request.attempt >= MAX_ATTEMPTS) {
            request.failed = true
        } else {
            request.attempt++
            policy.submit(request)
        }
    }

    /** A prefill result that the host can have decoded until it expires. */
    private class Result(val prefill: String, val expiresAt: Long)

    private inner class Stream(
        private val request: Request,
        private val attempt: Int,
        private val engine: DecodeEngine,
        private val result: Result,
        priority: Int,
        private val latency: Long,
    ) : DecodeEngine.Job(
        request.outputTokens - request.delivered,
        pieces(request.promptTokens + request.spec.maxTokens),
        priority,
    ) {
        private val enteredAt = simulation.now
        private var firstAt = 0L

        override fun admitted() {
            val source = cluster.prefills.getValue(result.prefill)
            if (simulation.now > result.expiresAt || source.speed == 0.0) {
                simulation.after(0) {
                    engine.drop(this)
                    failed()
                }
                return
            }
            val bytes = request.promptTokens * workload.kvBytesPerToken
            val arrival = Link.book(source.link, engine.link, bytes, simulation.now)
            simulation.after(arrival - simulation.now) { engine.start(this) }
        }

        override fun firstToken() {
            firstAt = simulation.now
            decodedPrefillTokens += request.promptTokens
            simulation.after(latency) {
                if (request.firstTokenAt == 0L) request.firstTokenAt = simulation.now
                policy.progress(request, Step(attempt, Phase.FIRST_TOKEN, 1, firstAt - enteredAt))
            }
        }

        override fun finished() {
            val spent = simulation.now - firstAt
            simulation.after(latency) {
                request.finishedAt = simulation.now
                policy.progress(request, Step(attempt, Phase.DECODE_FINISHED, (tokens - 1).coerceAtLeast(0), spent))
            }
        }

        override fun failed() {
            simulation.after(latency) {
                request.delivered += delivered
                if (firstAt == 0L) results[request.number] = result
                failed(request, Step(attempt, Phase.DECODE_FAILED))
            }
        }
    }

    private companion object {
        const val MAX_ATTEMPTS = 4
    }
}
