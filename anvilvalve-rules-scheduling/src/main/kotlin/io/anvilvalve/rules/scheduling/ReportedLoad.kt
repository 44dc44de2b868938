package io.anvilvalve.rules.scheduling

import io.anvilvalve.api.id.ModelId
import io.anvilvalve.api.port.LoadReport
import kotlin.math.exp

/**
 * External load of a backend server: the reported load beyond the work that this pool owner placed there.
 *
 * A report is compared with the owner's count at the time at which it was written. Its weight decays exponentially with
 * its age.
 */
internal class ReportedLoad {
    private var sequence = -1L
    private var writtenAt = Long.MIN_VALUE / 2
    private var excessRunning = 0
    private var excessKv = 0
    private var models: List<ModelId> = emptyList()
    private val history = ArrayDeque<HeldSample>()

    var leaving = false
        private set

    /**
     * Applies [report], received at [now]. A report that is not newer than the last one is ignored, unless the last one
     * is older than [SEQUENCE_RESET_MICROS]: a restarted server may number its reports anew.
     *
     * Returns whether the server may have started or stopped accepting new work for a model.
     */
    fun applyReport(report: LoadReport, now: Long): Boolean {
        val stale = report.sequence <= sequence && now - writtenAt < SEQUENCE_RESET_MICROS
        if (stale) return false
        val changed = leaving != report.leaving || models != report.models
        sequence = report.sequence
        writtenAt = now - report.ageMillis * MICROS_PER_MILLI
        leaving = report.leaving
        models = report.models
        val own = maxHeldNear(writtenAt)
        excessRunning = (report.running + report.waiting - own.count).coerceAtLeast(0)
        excessKv = (report.kvPiecesTotal - report.kvPiecesFree - own.kv).coerceAtLeast(0)
        return changed
    }

    /** Whether the server reported [model]; true when the report lists no models. */
    fun serves(model: ModelId): Boolean = models.isEmpty() || model in models

    fun externalRunning(now: Long): Int = if (excessRunning == 0) 0 else (excessRunning * weight(now)).toInt()

    fun externalKv(now: Long): Int = if (excessKv == 0) 0 else (excessKv * weight(now)).toInt()

    fun recordHeld(now: Long, count: Int, kv: Int) {
        history.addLast(HeldSample(now, count, kv))
        if (history.size > HISTORY_SIZE) history.removeFirst()
    }

    private fun weight(now: Long): Double = exp(-(now - writtenAt) / DECAY_MICROS)

    /** Maximum held since [UNCERTAINTY_MICROS] before [time], because the time of a report is uncertain. */
    private fun maxHeldNear(time: Long): HeldSample {
        var best = HeldSample(time, 0, 0)
        for (held in history.asReversed()) {
            best = HeldSample(time, maxOf(best.count, held.count), maxOf(best.kv, held.kv))
            if (held.at < time - UNCERTAINTY_MICROS) break
        }
        return best
    }

    private class HeldSample(val at: Long, val count: Int, val kv: Int)

    private companion object {
        const val MICROS_PER_MILLI = 1_000
        const val SEQUENCE_RESET_MICROS = 10_000_000L
        const val DECAY_MICROS = 2_000_000.0
        const val UNCERTAINTY_MICROS = 500_000L
        const val HISTORY_SIZE = 128
    }
}
