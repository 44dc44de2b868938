package io.anvilvalve.rules.scheduling

import io.anvilvalve.api.peer.Phase
import io.anvilvalve.api.peer.PlacementOutcome
import io.anvilvalve.api.peer.PlacementOutcome.Placed
import io.anvilvalve.api.peer.WorkItem
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Naive reference for the occupancy: a list of attempts, whose counts are summed up again for each check.
 *
 * It also simulates the hosts: it draws the steps of placed attempts at random, and loses, repeats and delays reports.
 */
internal class ReferenceHosts(private val random: Random) {
    private val attempts = LinkedHashMap<String, Attempt>()
    private val late = ArrayList<SchedulingEvent.Progressed>()

    /** Replies by request; a repeated reply must equal the first one. */
    val replies = HashMap<String, PlacementOutcome>()

    fun submitted(item: WorkItem) {
        attempts[item.id.value] = Attempt(item)
    }

    fun replied(id: String, outcome: PlacementOutcome) {
        check(replies.putIfAbsent(id, outcome).let { it == null || it == outcome }) { "two different replies for $id" }
        val attempt = attempts[id] ?: return
        if (outcome is Placed) attempt.placed = outcome else attempts.remove(id)
    }

    fun ended(id: String) {
        attempts.remove(id)
    }

    fun waiting(): List<String> = attempts.values.filter { it.placed == null }.map { it.item.id.value }

    fun running(): List<String> = attempts.values.filter { it.placed != null }.map { it.item.id.value }

    fun item(id: String): WorkItem? = attempts[id]?.item

    /** Number of attempts and KV pieces held at [server] according to the reports that the scheduler has received. */
    fun held(server: String): Pair<Int, Int> {
        val decodes = attempts.values.filter { it.placed?.decode?.value == server }
        val prefills = attempts.values.filter { it.placed?.prefill?.value == server && it.appliedStep < PREFILLED }
        val results = attempts.values.filter { it.placed?.prefill?.value == server && it.appliedStep < DECODING }
        val pieces = decodes.sumOf { Work.pieces(it.item.promptTokens + it.item.maxTokens) } +
            results.sumOf { Work.pieces(it.item.promptTokens) }
        return decodes.size + prefills.size to pieces
    }

    /** Reports to deliver next, with losses, repetitions and delays; empty when none is due. */
    fun nextReports(): List<SchedulingEvent.Progressed> {
        val attempt = attempts.values.filter { it.placed != null && it.sent < STEPS.size }.randomOrNull(random)
        val report = attempt?.let { report(it) }
        val reports = ArrayList<SchedulingEvent.Progressed>()
        if (report != null) {
            when (random.nextInt(DELIVERY_ODDS)) {
                0 -> Unit
                1 -> late.add(report)
                2 -> reports += listOf(report, report)
                else -> reports += report
            }
        }
        if (late.isNotEmpty() && random.nextInt(DELIVERY_ODDS) == 0) reports += late.removeAt(random.nextInt(late.size))
        return reports
    }

    /** Applies [event] to the reference as the scheduler must apply it. */
    fun reported(event: SchedulingEvent.Progressed) {
        val attempt = attempts[event.id.value] ?: return
        when (event.phase) {
            Phase.PREFILL_STARTED -> Unit
            Phase.PREFILL_FINISHED -> attempt.appliedStep = maxOf(attempt.appliedStep, PREFILLED)
            Phase.FIRST_TOKEN -> attempt.appliedStep = DECODING
            else -> attempts.remove(event.id.value)
        }
    }

    private fun report(attempt: Attempt): SchedulingEvent.Progressed {
        val failure = FAILURES.random(random).takeIf { random.nextInt(FAILURE_ODDS) == 0 }
        val phase = failure ?: STEPS[attempt.sent]
        attempt.sent = if (failure != null) STEPS.size else attempt.sent + 1
        val spent: Duration = (1 + random.nextInt(MAX_STEP)).milliseconds
        return SchedulingEvent.Progressed(attempt.item.id, 1, phase, random.nextInt(MAX_STEP), spent)
    }

    private class Attempt(val item: WorkItem) {
        var placed: Placed? = null
        var sent = 0
        var appliedStep = 0
    }

    private companion object {
        const val PREFILLED = 1
        const val DECODING = 2

        /** One report in this many is lost; the same holds for delayed and for repeated reports. */
        const val DELIVERY_ODDS = 8
        const val FAILURE_ODDS = 12

        /** Upper bound of the milliseconds and of the tokens in one report. */
        const val MAX_STEP = 400
        val STEPS = listOf(Phase.PREFILL_STARTED, Phase.PREFILL_FINISHED, Phase.FIRST_TOKEN, Phase.DECODE_FINISHED)
        val FAILURES = listOf(Phase.PREFILL_FAILED, Phase.DECODE_FAILED, Phase.CANCELLED)
    }
}
