package io.anvilvalve.bench.policy

import io.anvilvalve.api.peer.Phase

/** Simulated entry hosts: run placed requests on the engines, report progress and retry failed attempts. */
internal class EntryHosts(
    private val workload: Workload,
    private val simulation: Simulation,
    private val cluster: Cluster,
) : DecisionSink {
    private val prefillResults = HashMap<Int, PrefillResult>()
    lateinit var policy: Policy

    /** Prompt tokens of the prefill results that reached a first token. */
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

    override fun place(request: Request, attempt: Int, placement: Placement) {
        if (attempt != request.attempt) return
        val result = prefillResults.remove(request.number)
        if (result != null && result.prefill == placement.prefill && result.expiresAt > simulation.now) {
            return decode(request, attempt, placement, result)
        }
        val engine = cluster.prefills.getValue(placement.prefill)
        val latency = workload.latency(request.host.dataCentre, engine.spec.dataCentre)
        simulation.after(latency) {
            engine.prefill(request, placement.priority) { micros ->
                val expiresAt = simulation.now + workload.kvLifetimeMicros
                simulation.after(latency) {
                    if (micros == null) {
                        retryOrFail(request, Progress(attempt, Phase.PREFILL_FAILED))
                    } else {
                        policy.progress(request, Progress(attempt, Phase.PREFILL_FINISHED, 0, micros))
                        decode(request, attempt, placement, PrefillResult(placement.prefill, expiresAt))
                    }
                }
            }
        }
        policy.progress(request, Progress(attempt, Phase.PREFILL_STARTED))
    }

    private fun decode(request: Request, attempt: Int, placement: Placement, kv: PrefillResult) {
        val engine = cluster.decodes.getValue(placement.decode)
        val latency = workload.latency(request.host.dataCentre, engine.spec.dataCentre)
        simulation.after(latency) { engine.queue(DecodeJob(request, attempt, engine, kv, placement.priority, latency)) }
    }

    private fun retryOrFail(request: Request, step: Progress) {
        policy.progress(request, step)
        val deadlinePassed = request.firstTokenAt == 0L && simulation.now > request.deadline
        if (deadlinePassed || request.attempt >= MAX_ATTEMPTS) {
            request.failed = true
        } else {
            request.attempt++
            policy.submit(request)
        }
    }

    /** A prefill result, which a decode worker can fetch until [expiresAt]. */
    private class PrefillResult(val prefill: String, val expiresAt: Long)

    private inner class DecodeJob(
        private val request: Request,
        private val attempt: Int,
        private val engine: DecodeEngine,
        private val result: PrefillResult,
        priority: Int,
        private val latency: Long,
    ) : DecodeEngine.Job(
        request.outputTokens - request.delivered,
        pieces(request.promptTokens + request.spec.maxTokens),
        priority,
    ) {
        private val enteredAt = simulation.now
        private var generatedAt = 0L

        override fun onAdmitted() {
            val source = cluster.prefills.getValue(result.prefill)
            if (simulation.now > result.expiresAt || source.speed == 0.0) {
                simulation.after(0) {
                    engine.cancel(this)
                    onFailed()
                }
                return
            }
            val bytes = request.promptTokens * workload.kvBytesPerToken
            val arrival = Link.reserve(source.link, engine.link, bytes, simulation.now)
            simulation.after(arrival - simulation.now) { engine.start(this) }
        }

        override fun onFirstToken() {
            generatedAt = simulation.now
            decodedPrefillTokens += request.promptTokens
            simulation.after(latency) {
                if (request.firstTokenAt == 0L) request.firstTokenAt = simulation.now
                policy.progress(request, Progress(attempt, Phase.FIRST_TOKEN, 1, generatedAt - enteredAt))
            }
        }

        override fun onFinished() {
            val spent = simulation.now - generatedAt
            simulation.after(latency) {
                request.finishedAt = simulation.now
                policy.progress(request, Progress(attempt, Phase.DECODE_FINISHED, (tokens - 1).coerceAtLeast(0), spent))
            }
        }

        override fun onFailed() {
            simulation.after(latency) {
                request.delivered += delivered
                if (generatedAt == 0L) prefillResults[request.number] = result
                retryOrFail(request, Progress(attempt, Phase.DECODE_FAILED))
            }
        }
    }

    private companion object {
        const val MAX_ATTEMPTS = 4
    }
}
