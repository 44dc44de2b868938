package io.anvilvalve.bench.policy

import java.util.PriorityQueue

/**
 * Fake decode engine with continuous batching: every running request gets a token per step, and a step takes longer the
 * more requests run. Requests beyond the slots or the KV memory wait by priority.
 */
internal class DecodeEngine(val spec: WorkerSpec, private val simulation: Simulation) {
    private val waiting = PriorityQueue<Job>(compareBy({ it.priority }, { it.number }))
    private val running = PriorityQueue<Job>(compareBy({ it.endStep }, { it.number }))
    private val jobs = LinkedHashSet<Job>()
    private var admitted = 0
    private var steps = 0.0
    private var stepsAt = 0L
    private var number = 0L
    private var wakeUp = 0L

    val link = Link(spec.linkBytesPerSecond)
    var kvUsed = 0
        private set
    val held: Int get() = admitted
    val queued: Int get() = waiting.size
    var speed = 1.0
        set(value) {
            advance()
            field = value
            wake()
        }

    /** Enters [job], which is admitted as soon as a slot and KV memory are free. */
    fun enter(job: Job) {
        if (speed == 0.0) return job.failed()
        job.number = number++
        waiting.add(job)
        admit()
    }

    /** Starts to generate the tokens of an admitted [job] whose KV cache has arrived. */
    fun start(job: Job) {
        if (job.over) return
        advance()
        job.startStep = steps
        job.endStep = steps + job.tokens
        running.add(job)
        val first = (stepMicros()).toLong()
        simulation.after(first) { if (!job.over) job.firstToken() }
        wake()
    }

    /** Ends an admitted [job] early. */
    fun drop(job: Job) {
        if (job.over) return
        advance()
        running.remove(job)
        leave(job)
        wake()
    }

    /** Kills the process: all work fails. */
    fun kill() {
        advance()
        val lost = jobs.toList() + waiting
        waiting.clear()
        running.clear()
        jobs.clear()
        admitted = 0
        kvUsed = 0
        lost.forEach {
            it.delivered = if (it.startStep < 0) 0 else (steps - it.startStep).toInt().coerceAtMost(it.tokens)
            it.over = true
            it.failed()
        }
    }

    private fun admit() {
        while (waiting.isNotEmpty()) {
            val job = waiting.peek()
            if (admitted >= spec.slots || kvUsed + job.kvPieces > spec.kvPieces) return
            waiting.poll()
            admitted++
            kvUsed += job.kvPieces
            jobs.add(job)
            job.admitted()
        }
    }

    private fun leave(job: Job) {
        job.over = true
        jobs.remove(job)
        admitted--
        kvUsed -= job.kvPieces
        admit()
    }

    private fun stepMicros(): Double = spec.stepMicros(running.size) / speed

    /** Counts the steps since the last change. */
    private fun advance() {
        if (running.isNotEmpty() && speed > 0.0) steps += (simulation.now - stepsAt) / stepMicros()
        stepsAt = simulation.now
    }

    /** Plans the end of the request that ends next. */
    private fun wake() {
        val plan = ++wakeUp
        val next = running.peek() ?: return
        if (speed == 0.0) return
        val micros = ((next.endStep - steps) * stepMicros()).toLong() + 1
        simulation.after(micros) { if (plan == wakeUp) finishDue() }
    }

    private fun finishDue() {
        advance()
        while (running.isNotEmpty() && running.peek().endStep <= steps + STEP_TOLERANCE) {
            val job = running.poll()
            job.delivered = job.tokens
            leave(job)
            job.finished()
        }
        wake()
    }

    /** A request at this engine. */
    abstract class Job(val tokens: Int, val kvPieces: Int, val priority: Int) {
        var number = 0L
        var startStep = -1.0
        var endStep = 0.0
        var delivered = 0
        var over = false

        abstract fun admitted()

        abstract fun firstToken()

        abstract fun finished()

        abstract fun failed()
    }

    private companion object {
        const val STEP_TOLERANCE = 1e-6
    }
}
