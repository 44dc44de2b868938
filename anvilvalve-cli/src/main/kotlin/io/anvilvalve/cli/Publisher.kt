package io.anvilvalve.cli

import io.anvilvalve.api.log.LogCodec
import io.anvilvalve.api.log.LogRecord
import io.anvilvalve.api.port.LogService
import io.anvilvalve.api.release.ReleaseNote
import io.anvilvalve.api.result.ResultCode
import io.anvilvalve.rules.release.NoteFault
import io.anvilvalve.rules.release.NoteValidator
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.json.JsonPrimitive
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/**
 * Appends a note and reads the log until it contains the decision on the note.
 *
 * The response to an append may be lost, so the note is looked up in the log by its id and appended again as long as
 * no decision on it has been read. Hosts ignore a second note with the same id.
 */
internal class Publisher(private val log: LogService, private val timeout: Duration) {
    private val reader = LogReader(log)

    /** Publishes [note] if it is valid for the release in force; returns the decision of an earlier attempt if any. */
    suspend fun publish(note: ReleaseNote): Outcome {
        val view = reader.read().fold({ return Outcome.logUnavailable("nothing was published: $it") }, { it })
        view.decisionOn(note.id)?.let { return outcomeOf(note, it, view) }
        val faults = NoteValidator.validate(note, view.release, view.snapshot.withdrawnKeys)
        if (faults.isNotEmpty()) return rejected(note, faults, view)
        return withTimeoutOrNull(timeout) { appendUntilDecided(note, view) } ?: Outcome.logUnavailable(
            "note ${note.id} may take effect later; publish the same file again to see the outcome",
        )
    }

    private suspend fun appendUntilDecided(note: ReleaseNote, before: LogView): Outcome {
        var view = before
        var backoff = INITIAL_BACKOFF
        while (true) {
            log.append(listOf(LogCodec.encode(LogRecord.Note(note))))
            reader.catchUp(view).onRight { view = it }
            view.decisionOn(note.id)?.let { return outcomeOf(note, it, view) }
            delay(backoff)
            backoff = (backoff * 2).coerceAtMost(MAX_BACKOFF)
        }
    }

    private fun outcomeOf(note: ReleaseNote, decision: Decision, view: LogView): Outcome = when {
        decision.note != note -> Outcome(
            ExitCode.REJECTED,
            ResultCode.NOTE_INVALID,
            listOf("another note with the id ${note.id} is at offset ${decision.offset}; choose a new id"),
        )

        decision.isAccepted -> Outcome.ok(
            listOf("release ${decision.release} is in force from offset ${decision.offset}"),
            mapOf(
                "note" to JsonPrimitive(note.id.value),
                "release" to JsonPrimitive(decision.release.value),
                "offset" to JsonPrimitive(decision.offset.value),
            ),
        )

        else -> rejected(note, decision.faults, view)
    }

    companion object {
        private val INITIAL_BACKOFF = 100.milliseconds
        private val MAX_BACKOFF = 2_000.milliseconds

        /** Distinguishes an invalid note from an outdated one; for the latter, names the note accepted instead. */
        fun rejected(note: ReleaseNote, faults: List<NoteFault>, view: LogView): Outcome {
            val next = note.expectedPrevious.next()
            val winner = view.acceptedDecisionFor(next)?.takeIf { note.expectedPrevious < view.release.number }
            val lines = faults.map { if (it.change == 0) it.message else "change ${it.change}: ${it.message}" }
            val fields = mapOf(
                "note" to JsonPrimitive(note.id.value),
                "release" to JsonPrimitive(view.release.number.value),
                "faults" to faultsJson(faults),
            )
            if (note.expectedPrevious >= view.release.number) {
                return Outcome(ExitCode.REJECTED, ResultCode.NOTE_INVALID, lines, fields)
            }
            val won = winner?.let { "release $next was made by note ${it.note.id} of ${it.note.author}" }
            val wonFields = winner?.let { mapOf("winner" to JsonPrimitive(it.note.id.value)) }.orEmpty()
            return Outcome(ExitCode.OUTDATED, ResultCode.NOTE_OUTDATED, lines + listOfNotNull(won), fields + wonFields)
        }
    }
}
