package io.anvilvalve.cli

import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.id.LogOffset
import io.anvilvalve.api.id.NoteId
import io.anvilvalve.api.id.ReleaseNumber
import io.anvilvalve.api.log.LogRecord
import io.anvilvalve.api.release.Release
import io.anvilvalve.api.release.ReleaseNote
import io.anvilvalve.rules.release.NoteFault
import io.anvilvalve.rules.release.ReleaseEffect
import io.anvilvalve.rules.release.ReleaseEvent
import io.anvilvalve.rules.release.ReleaseRules
import io.anvilvalve.rules.release.ReleaseSnapshot
import kotlin.time.Duration

/** A note in the log and the decision on it, which is the same on all hosts; no [faults] means accepted. */
internal data class Decision(
    val offset: LogOffset,
    val note: ReleaseNote,
    val release: ReleaseNumber,
    val faults: List<NoteFault>,
) {
    val isAccepted: Boolean get() = faults.isEmpty()
}

/** Release state rebuilt from log records with the same rules that the hosts use. */
internal class LogView {
    private val rules = ReleaseRules(self = Incarnation("anvilvalvectl"))
    private val decisionsById = LinkedHashMap<NoteId, Decision>()
    private val acceptedByRelease = mutableMapOf<ReleaseNumber, Decision>()

    val release: Release get() = rules.release

    val snapshot: ReleaseSnapshot get() = rules.snapshot()

    val applied: LogOffset get() = rules.applied

    /** Decisions on the notes in the retained log, in log order. */
    val history: List<Decision> get() = decisionsById.values.toList()

    fun decisionOn(id: NoteId): Decision? = decisionsById[id]

    /** Returns the decision that created release [number], or null if the retained log does not contain the note. */
    fun acceptedDecisionFor(number: ReleaseNumber): Decision? = acceptedByRelease[number]

    fun restore(covered: LogOffset, state: ReleaseSnapshot) {
        rules.reduce(ReleaseEvent.Restored(covered, state), Duration.ZERO)
    }

    fun apply(offset: LogOffset, record: LogRecord) {
        val effects = rules.reduce(ReleaseEvent.RecordApplied(offset, record), Duration.ZERO)
        if (record !is LogRecord.Note) return
        effects.forEach { effect ->
            when (effect) {
                is ReleaseEffect.ReleaseChanged ->
                    store(Decision(offset, record.note, effect.release.number, faults = emptyList()))

                is ReleaseEffect.NoteRejected -> store(Decision(offset, record.note, effect.current, effect.faults))

                else -> Unit
            }
        }
    }

    private fun store(decision: Decision) {
        decisionsById[decision.note.id] = decision
        if (decision.isAccepted) acceptedByRelease[decision.release] = decision
    }
}
