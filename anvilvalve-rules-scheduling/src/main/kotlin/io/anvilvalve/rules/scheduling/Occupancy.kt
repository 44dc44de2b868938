package io.anvilvalve.rules.scheduling

import io.anvilvalve.api.peer.Phase
import io.anvilvalve.api.peer.PlacementOutcome

/**
 * Reserves and releases the slots, KV memory and link time of attempts, and updates the speed estimates from their
 * steps. Each reservation is released exactly once.
 */
internal class Occupancy(private val settings: SchedulingSettings) {
    fun reserve(work: Work, placement: Placement, now: Long) {
        work.state = Work.State.PLACED
        work.lastProgressAt = now
        work.prefill = placement.prefill
        work.prefillMicros = placement.prefillMicros
        work.prefillTokens = placement.prefillTokens
        work.transfer = placement.transfer
        if (placement.prefillMicros > 0) {
            work.resultUntil = 0
            work.holdsPrefill = true
            placement.prefill.reservePrefill(now, placement.prefillMicros)
            work.holdsResult = true
            placement.prefill.changeHeldKv(work.promptPieces)
        } else {
            work.state = Work.State.PREFILLED
        }
        placement.prefill.link.add(placement.transfer)
        placement.decode.link.add(placement.transfer)
        reserveDecode(work, placement.decode, now)
    }

    /** Records a running attempt that another pool owner placed. */
    fun adopt(work: Work, placed: PlacementOutcome.Placed, prefill: ServerState?, decode: ServerState?, now: Long) {
        work.placed = placed
        work.started = true
        work.state = Work.State.PREFILLED
        work.prefill = prefill
        if (decode != null) reserveDecode(work, decode, now)
    }

    /** Applies a reported step of a placed attempt. */
    fun applyProgress(work: Work, event: SchedulingEvent.Progressed, now: Long): StepResult {
        work.started = true
        work.lastProgressAt = now
        return when (event.phase) {
            Phase.PREFILL_STARTED -> StepResult()
            Phase.PREFILL_FINISHED -> prefillFinished(work, event, now)
            Phase.FIRST_TOKEN -> firstToken(work, event, now)
            Phase.DECODE_FINISHED -> decodeFinished(work, event, now)
            Phase.PREFILL_FAILED -> StepResult(failed = work.prefill).also { release(work, now) }
            Phase.DECODE_FAILED -> decodeFailed(work, now)
            Phase.CANCELLED -> StepResult().also { release(work, now) }
        }
    }

    /** Releases every reservation of [work] and marks it as ended. */
    fun release(work: Work, now: Long) {
        releasePrefill(work, now)
        releaseResult(work)
        work.decode?.let {
            it.decodeEnded(work)
            it.changeHeld(now, -1)
            it.changeHeldKv(-work.kvPieces)
        }
        work.decode = null
        work.state = Work.State.ENDED
    }

    private fun prefillFinished(work: Work, event: SchedulingEvent.Progressed, now: Long): StepResult {
        if (work.state != Work.State.PLACED) return StepResult()
        releasePrefill(work, now)
        work.state = Work.State.PREFILLED
        work.resultUntil = now + settings.resultLifetime.inWholeMicroseconds
        val prefill = work.prefill ?: return StepResult()
        val spent = event.spent.inWholeMicroseconds
        if (spent > 0) prefill.speed.observe(work.prefillTokens, spent.toDouble())
        prefill.prefixes.recordPrefill(work.item.prefixHashes)
        return StepResult(succeeded = prefill)
    }

    private fun firstToken(work: Work, event: SchedulingEvent.Progressed, now: Long): StepResult {
        if (work.state == Work.State.DECODING) return StepResult()
        releasePrefill(work, now)
        val planned = work.transfer?.let { it.end - it.start } ?: 0
        releaseResult(work)
        work.state = Work.State.DECODING
        work.resultUntil = 0
        work.firstTokenAt = now
        val decode = work.decode ?: return StepResult()
        decode.decodeStarted(work)
        work.occupancyAtFirstToken = decode.occupancyIntegral(now)
        val transfer = event.spent.inWholeMicroseconds - decode.speed.predict(decode.held.toDouble()).toLong()
        if (planned > 0 && transfer > 0) decode.observeTransfer(planned, transfer)
        return StepResult(succeeded = decode)
    }

    private fun decodeFinished(work: Work, event: SchedulingEvent.Progressed, now: Long): StepResult {
        val decode = work.decode
        if (decode != null && work.state == Work.State.DECODING) observeDecodeSpeed(work, decode, event, now)
        if (event.tokens > 0) work.answerLengths?.observe(event.tokens)
        release(work, now)
        return StepResult(succeeded = decode)
    }

    private fun observeDecodeSpeed(work: Work, decode: ServerState, event: SchedulingEvent.Progressed, now: Long) {
        val elapsed = now - work.firstTokenAt
        // Some origins include the transfer and the first token in the reported time.
        val spent = minOf(event.spent.inWholeMicroseconds, elapsed)
        if (elapsed <= 0 || spent <= 0 || event.tokens < MIN_TOKENS) return
        val concurrency = (decode.occupancyIntegral(now) - work.occupancyAtFirstToken) / elapsed
        decode.speed.observe(concurrency, spent.toDouble() / event.tokens)
    }

    private fun decodeFailed(work: Work, now: Long): StepResult {
        val decode = work.decode
        release(work, now)
        return StepResult(failed = decode)
    }

    private fun reserveDecode(work: Work, decode: ServerState, now: Long) {
        work.decode = decode
        decode.changeHeld(now, 1)
        decode.changeHeldKv(work.kvPieces)
    }

    private fun releasePrefill(work: Work, now: Long) {
        if (!work.holdsPrefill) return
        work.holdsPrefill = false
        work.prefill?.releasePrefill(now, work.prefillMicros)
    }

    /** Releases the KV memory of the prefill result at the prefill server, and the link time. */
    private fun releaseResult(work: Work) {
        work.transfer?.let {
            work.prefill?.link?.remove(it)
            work.decode?.link?.remove(it)
        }
        work.transfer = null
        if (!work.holdsResult) return
        work.holdsResult = false
        work.prefill?.changeHeldKv(-work.promptPieces)
    }

    /** The server at which a step succeeded or failed; both null when the step says nothing about a server. */
    class StepResult(val succeeded: ServerState? = null, val failed: ServerState? = null)

    private companion object {
        const val MIN_TOKENS = 8
    }
}
