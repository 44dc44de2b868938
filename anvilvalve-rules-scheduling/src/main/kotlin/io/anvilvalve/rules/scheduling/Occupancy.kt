package io.anvilvalve.rules.scheduling

import io.anvilvalve.api.peer.Phase
import io.anvilvalve.api.peer.PlacementOutcome

/** Holds and releases what attempts occupy, and learns speeds from their steps. Every release happens once. */
internal class Occupancy(private val settings: SchedulingSettings) {
    fun hold(work: Work, placement: Placement, now: Long) {
        work.state = Work.State.PLACED
        work.lastProgressAt = now
        work.prefill = placement.prefill
        work.prefillMicros = placement.prefillMicros
        work.prefillTokens = placement.prefillTokens
        work.transfer = placement.transfer
        if (placement.prefillMicros > 0) {
            work.resultUntil = 0
            work.holdsPrefill = true
            placement.prefill.holdPrefill(now, placement.prefillMicros)
            work.holdsResult = true
            placement.prefill.holdKv(work.promptPieces)
        } else {
            work.state = Work.State.PREFILLED
        }
        placement.prefill.link.add(placement.transfer)
        placement.decode.link.add(placement.transfer)
        holdDecode(work, placement.decode, now)
    }

    /** Takes over a running attempt that another pool owner placed. */
    fun adopt(work: Work, placed: PlacementOutcome.Placed, prefill: ServerState?, decode: ServerState?, now: Long) {
        work.placed = placed
        work.started = true
        work.state = Work.State.PREFILLED
        work.prefill = prefill
        if (decode != null) holdDecode(work, decode, now)
    }

    /** Applies a step of a placed attempt. */
    fun progress(work: Work, event: SchedulingEvent.Progressed, now: Long): Outcome {
        work.started = true
        work.lastProgressAt = now
        return when (event.phase) {
            Phase.PREFILL_STARTED -> Outcome()
            Phase.PREFILL_FINISHED -> prefillFinished(work, event, now)
            Phase.FIRST_TOKEN -> firstToken(work, event, now)
            Phase.DECODE_FINISHED -> decodeFinished(work, event, now)
            Phase.PREFILL_FAILED -> Outcome(failed = work.prefill).also { release(work, now) }
            Phase.DECODE_FAILED -> decodeFailed(work, now)
            Phase.CANCELLED -> Outcome().also { release(work, now) }
        }
    }

    /** Releases all that [work] holds and ends it. */
    fun release(work: Work, now: Long) {
        releasePrefill(work, now)
        releaseResult(work)
        work.decode?.let {
            it.decodeEnded(work)
            it.changeHeld(now, -1)
            it.holdKv(-work.kvPieces)
        }
        work.decode = null
        work.state = Work.State.ENDED
    }

    private fun prefillFinished(work: Work, event: SchedulingEvent.Progressed, now: Long): Outcome {
        if (work.state != Work.State.PLACED) return Outcome()
        releasePrefill(work, now)
        work.state = Work.State.PREFILLED
        work.resultUntil = now + settings.resultLifetime.inWholeMicroseconds
        val prefill = work.prefill ?: return Outcome()
        val spent = event.spent.inWholeMicroseconds
        if (spent > 0) prefill.speed.observe(work.prefillTokens, spent.toDouble())
        prefill.prefixes.prefilled(work.item.prefixHashes)
        return Outcome(succeeded = prefill)
    }

    private fun firstToken(work: Work, event: SchedulingEvent.Progressed, now: Long): Outcome {
        if (work.state == Work.State.DECODING) return Outcome()
        releasePrefill(work, now)
        val planned = work.transfer?.let { it.end - it.start } ?: 0
        releaseResult(work)
        work.state = Work.State.DECODING
        work.resultUntil = 0
        work.firstTokenAt = now
        val decode = work.decode ?: return Outcome()
        decode.decodeStarted(work)
        work.occupancyAtFirstToken = decode.occupancyIntegral(now)
        val transfer = event.spent.inWholeMicroseconds - decode.speed.predict(decode.held.toDouble()).toLong()
        if (planned > 0 && transfer > 0) decode.transferred(planned, transfer)
        return Outcome(succeeded = decode)
    }

    private fun decodeFinished(work: Work, event: SchedulingEvent.Progressed, now: Long): Outcome {
        val decode = work.decode
        if (decode != null && work.state == Work.State.DECODING) learnPace(work, decode, event, now)
        if (event.tokens > 0) work.lengths?.observe(event.tokens)
        release(work, now)
        return Outcome(succeeded = decode)
    }

    private fun learnPace(work: Work, decode: ServerState, event: SchedulingEvent.Progressed, now: Long) {
        val elapsed = now - work.firstTokenAt
        val spent = event.spent.inWholeMicroseconds
        if (elapsed <= 0 || spent <= 0 || event.tokens < MIN_TOKENS) return
        val concurrency = (decode.occupancyIntegral(now) - work.occupancyAtFirstToken) / elapsed
        decode.speed.observe(concurrency, spent.toDouble() / event.tokens)
    }

    private fun decodeFailed(work: Work, now: Long): Outcome {
        val decode = work.decode
        release(work, now)
        return Outcome(failed = decode)
    }

    private fun holdDecode(work: Work, decode: ServerState, now: Long) {
        work.decode = decode
        decode.changeHeld(now, 1)
        decode.holdKv(work.kvPieces)
    }

    private fun releasePrefill(work: Work, now: Long) {
        if (!work.holdsPrefill) return
        work.holdsPrefill = false
        work.prefill?.releasePrefill(now, work.prefillMicros)
    }

    /** Releases the memory of the result at the prefill server, and the link time. */
    private fun releaseResult(work: Work) {
        work.transfer?.let {
            work.prefill?.link?.remove(it)
            work.decode?.link?.remove(it)
        }
        work.transfer = null
        if (!work.holdsResult) return
        work.holdsResult = false
        work.prefill?.holdKv(-work.promptPieces)
    }

    /** Server that did its part, or failed to. */
    class Outcome(val succeeded: ServerState? = null, val failed: ServerState? = null)

    private companion object {
        const val MIN_TOKENS = 8
    }
}
