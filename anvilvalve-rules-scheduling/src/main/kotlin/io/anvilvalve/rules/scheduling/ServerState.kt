package io.anvilvalve.rules.scheduling

import io.anvilvalve.api.id.ModelId
import io.anvilvalve.api.release.BackendServer
import io.anvilvalve.api.release.Role

/** State of one backend server as seen by the pool owner. Times are in microseconds. */
internal class ServerState(var server: BackendServer, private val settings: SchedulingSettings) {
    val breaker = CircuitBreaker(settings.breaker)
    val prefixes = PrefixIndex()
    val link = LinkSchedule()
    val load = ReportedLoad()
    var removed = false

    /** Ratio of the observed transfer time to the time predicted from the link's rate. */
    var linkFactor = 1.0
        private set

    /** Number of attempts that hold a slot. */
    var held = 0
        private set

    /** Number of KV pieces held by attempts. */
    var kvHeld = 0
        private set

    private val decoding = ArrayList<Work>()
    private var endRate = 0.0
    private var endRateAt = Long.MIN_VALUE / 2

    private var pendingPrefill = 0L
    private var prefillBusySince = 0L
    private var occupancy = 0.0
    private var occupancyAt = 0L

    /** Prefill time as a function of uncached prompt tokens, or time between tokens as a function of concurrency. */
    val speed =
        if (server.role == Role.PREFILL) {
            LinearEstimate(PREFILL_OVERHEAD_MICROS, PREFILL_MICROS_PER_TOKEN)
        } else {
            LinearEstimate(STEP_BASE_MICROS, STEP_MICROS_PER_REQUEST)
        }

    fun acceptsNewWork(model: ModelId): Boolean =
        !removed && !server.leaving && !load.leaving && model in server.models && load.serves(model)

    /**
     * Predicted time at which a prefill server finishes its current prefills. When they take longer than predicted,
     * 1/[OVERRUN_DIVISOR] of the elapsed time is assumed to remain.
     */
    fun prefillFreeAt(now: Long): Long {
        if (held == 0) return now
        val elapsed = now - prefillBusySince
        val remaining = pendingPrefill - elapsed
        return now + if (remaining > 0) remaining else elapsed / OVERRUN_DIVISOR
    }

    fun freeKv(now: Long): Int = server.kvPieces - kvHeld - load.externalKv(now)

    /**
     * Maximum number of requests at which a decode server is predicted to keep the time between tokens within
     * [SchedulingSettings.tokenGap], less the external load and bounded by its slots and its circuit breaker.
     */
    fun decodeLimit(now: Long): Int {
        val target = settings.tokenGap.inWholeMicroseconds * TOKEN_GAP_MARGIN
        val capacity = if (speed.slope > 0.0) (target - speed.offset) / speed.slope else Double.MAX_VALUE
        val gapLimit = capacity.coerceIn(1.0, server.slots.toDouble()).toInt()
        return minOf(gapLimit, breaker.concurrencyLimit(now)) - load.externalRunning(now)
    }

    fun decodeStarted(work: Work) {
        decoding.add(work)
    }

    fun decodeEnded(work: Work) {
        if (decoding.remove(work)) endRateAt = Long.MIN_VALUE / 2
    }

    /** Expected number of running answers that end within [window] microseconds. */
    fun expectedEnds(window: Long, now: Long): Double {
        if (now - endRateAt > END_RATE_MAX_AGE_MICROS) {
            val step = speed.predict(held.toDouble()).coerceAtLeast(1.0)
            endRate = decoding.sumOf { it.endProbability((it.decodingMicros(now) / step).toInt()) } / step
            endRateAt = now
        }
        return endRate * window
    }

    fun reservePrefill(now: Long, micros: Long) {
        if (held == 0) prefillBusySince = now
        pendingPrefill += micros
        changeHeld(now, 1)
    }

    fun releasePrefill(now: Long, micros: Long) {
        pendingPrefill = (pendingPrefill - micros).coerceAtLeast(0)
        prefillBusySince = now
        changeHeld(now, -1)
    }

    /** Records that a transfer planned for [planned] microseconds took [observed] microseconds. */
    fun observeTransfer(planned: Long, observed: Long) {
        if (planned <= 0) return
        val ratio = linkFactor * observed / planned
        linkFactor = (linkFactor + LINK_GAIN * (ratio - linkFactor)).coerceIn(1.0, MAX_LINK_FACTOR)
    }

    fun changeHeldKv(pieces: Int) {
        kvHeld += pieces
    }

    /** Adds [change] to the number of held attempts and updates its integral over time. */
    fun changeHeld(now: Long, change: Int) {
        occupancy = occupancyIntegral(now)
        occupancyAt = now
        held += change
        load.recordHeld(now, held, kvHeld)
    }

    /** Integral of the number of held attempts over time. */
    fun occupancyIntegral(now: Long): Double = occupancy + held.toDouble() * (now - occupancyAt)

    private companion object {
        const val PREFILL_OVERHEAD_MICROS = 5_000.0
        const val PREFILL_MICROS_PER_TOKEN = 50.0
        const val STEP_BASE_MICROS = 12_000.0
        const val STEP_MICROS_PER_REQUEST = 600.0
        const val END_RATE_MAX_AGE_MICROS = 100_000L
        const val TOKEN_GAP_MARGIN = 0.97
        const val LINK_GAIN = 0.1
        const val MAX_LINK_FACTOR = 20.0
        const val OVERRUN_DIVISOR = 4
    }
}
