package io.anvilvalve.bench.policy

import java.util.PriorityQueue

/**
 * Simulated decode engine with continuous batching. Every running request receives one token per step, and a step takes
 * longer with more running requests. Requests beyond the slots or the KV memory wait in order of priority.
 */
internal class DecodeEngine(val spec: WorkerSpec, private val simulation: Simulation) {
    private val waiting = PriorityQueue<Job>(compareBy({ it.priority }, { it.number }))
    private val running = PriorityQueue<Job>(compareBy({ it.endStep }, { it.number }))
    private val admittedJobs = LinkedHashSet<Job>()
    private var admittedCount = 0
    private var steps = 0.0
    private var stepsAt = 0L
    private var number = 0L
    private var scheduleGeneration = 0L

    val link = Link(spec.linkBytesPerSecond)
    var kvUsed = 0
        private set
    val slotsUsed: Int get() = admittedCount
    val queued: Int get() = waiting.size
    var speed = 1.0
        set(value) {
            advanceSteps()
            field = value
            scheduleNextEnd()
        }

    /** Queues [job] for admission, which needs a free slot and free KV memory. */
    fun queue(job: Job) {
        if (speed == 0.0) return job.onFailed()
        job.number = number++
        waiting.add(job)
        admit()
    }

    /** Starts decoding an admitted [job] after its KV cache has arrived. */
    fun start(job: Job) {
        if (job.ended) return
        advanceSteps()
        job.startStep = steps
        job.endStep = steps + job.tokens
        running.add(job)
        val first = (stepMicros()).toLong()
        simulation.after(first) { if (!job.ended) job.onFirstToken() }
        scheduleNextEnd()
    }

    /** Ends an admitted [job] early and frees its slot and KV memory. */
    fun cancel(job: Job) {
        if (job.ended) return
        advanceSteps()
        running.remove(job)
        release(job)
        scheduleNextEnd()
    }

    /** Simulates a crash of the process: all queued and admitted jobs fail. */
    fun kill() {
        advanceSteps()
        val lost = admittedJobs.toList() + waiting
        waiting.clear()
        running.clear()
        admittedJobs.clear()
        admittedCount = 0
        kvUsed = 0
        lost.forEach {
            it.delivered = if (it.startStep < 0) 0 else (steps - it.startStep).toInt().coerceAtMost(it.tokens)
            it.ended = true
            it.onFailed()
        }
    }

    private fun admit() {
        while (waiting.isNotEmpty()) {
            val job = waiting.peek()
            if (admittedCount >= spec.slots || kvUsed + job.kvPieces > spec.kvPieces) return
            waiting.poll()
            admittedCount++
            kvUsed += job.kvPieces
            admittedJobs.add(job)
            job.onAdmitted()
        }
    }

    private fun release(job: Job) {
        job.ended = true
        admittedJobs.remove(job)
        admittedCount--
        kvUsed -= job.kvPieces
        admit()
    }

    private fun stepMicros(): Double = spec.stepMicros(running.size) / speed

    /** Adds the steps since the last change of speed or batch size to [steps]. */
    private fun advanceSteps() {
        if (running.isNotEmpty() && speed > 0.0) steps += (simulation.now - stepsAt) / stepMicros()
        stepsAt = simulation.now
    }

    /** Schedules the end of the job that ends next; an earlier schedule becomes void. */
    private fun scheduleNextEnd() {
        val generation = ++scheduleGeneration
        val next = running.peek() ?: return
        if (speed == 0.0) return
        val micros = ((next.endStep - steps) * stepMicros()).toLong() + 1
        simulation.after(micros) { if (generation == scheduleGeneration) finishEndedJobs() }
    }

    private fun finishEndedJobs() {
        advanceSteps()
        while (running.isNotEmpty() && running.peek().endStep <= steps + STEP_TOLERANCE) {
            val job = running.poll()
            job.delivered = job.tokens
            release(job)
            job.onFinished()
        }
        scheduleNextEnd()
    }

    /** A request at this engine; jobs with a lower [priority] value go first. */
    abstract class Job(val tokens: Int, val kvPieces: Int, val priority: Int) {
        var number = 0L
        var startStep = -1.0
        var endStep = 0.0
        var delivered = 0
        var ended = false

        abstract fun onAdmitted()

        abstract fun onFirstToken()

        abstract fun onFinished()

        abstract fun onFailed()
    }

    private companion object {
        const val STEP_TOLERANCE = 1e-6
    }
}
