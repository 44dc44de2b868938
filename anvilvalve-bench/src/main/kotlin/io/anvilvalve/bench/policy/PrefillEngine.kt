package io.anvilvalve.bench.policy

import io.anvilvalve.api.port.CacheEvent
import java.util.PriorityQueue
import kotlin.random.Random

/** Simulated prefill engine: computes one prompt at a time in order of priority and keeps an LRU prefix cache. */
internal class PrefillEngine(
    val spec: WorkerSpec,
    private val simulation: Simulation,
    private val lengths: Lengths,
    private val random: Random,
) {
    private val waiting = PriorityQueue<Job>(compareBy({ it.priority }, { it.number }))
    private val cache = object : LinkedHashMap<Long, Unit>(INITIAL_SIZE, LOAD_FACTOR, true) {
        override fun removeEldestEntry(eldest: MutableMap.MutableEntry<Long, Unit>): Boolean {
            val full = size > spec.cachePieces
            if (full) recordCacheEvent(eldest.key, stored = false)
            return full
        }
    }
    private var current: Job? = null
    private var number = 0L
    private var incarnation = 0
    private var eventSequence = 0L

    val link = Link(spec.linkBytesPerSecond)
    val cacheEvents = ArrayList<CacheEvent>()
    var speed = 1.0
    val running: Int get() = if (current == null) 0 else 1
    val queued: Int get() = waiting.size

    /** Prompt tokens of all completed prefills, cached tokens included. */
    var computedTokens = 0L
        private set

    /** Computes the prompt of [request]; [onDone] receives the microseconds spent, or null if the process died. */
    fun prefill(request: Request, priority: Int, onDone: (Long?) -> Unit) {
        if (speed == 0.0) return onDone(null)
        waiting.add(Job(request, priority, number++, onDone))
        startNext()
    }

    /** Simulates a crash of the process: all jobs fail and the prefix cache is lost. */
    fun kill() {
        incarnation++
        val lost = listOfNotNull(current) + waiting
        current = null
        waiting.clear()
        cache.clear()
        lost.forEach { it.onDone(null) }
    }

    private fun startNext() {
        if (current != null) return
        val job = waiting.poll() ?: return
        current = job
        val startIncarnation = incarnation
        val hits = job.request.prefixHashes.takeWhile { it in cache }.size
        val tokens = (job.request.promptTokens - hits * PIECE_TOKENS).coerceAtLeast(1)
        val micros = (spec.prefillMicros(tokens) * lengths.prefillNoise(random) / speed).toLong()
        simulation.after(micros) {
            if (incarnation == startIncarnation) finish(job, micros)
        }
    }

    private fun finish(job: Job, micros: Long) {
        current = null
        computedTokens += job.request.promptTokens
        job.request.prefixHashes.forEach { hash ->
            if (cache.put(hash, Unit) == null) recordCacheEvent(hash, stored = true)
        }
        startNext()
        job.onDone(micros)
    }

    private fun recordCacheEvent(hash: Long, stored: Boolean) {
        cacheEvents.add(CacheEvent(eventSequence++, stored, hash))
    }

    private class Job(val request: Request, val priority: Int, val number: Long, val onDone: (Long?) -> Unit)

    private companion object {
        const val INITIAL_SIZE = 64
        const val LOAD_FACTOR = 0.75f
    }
}
