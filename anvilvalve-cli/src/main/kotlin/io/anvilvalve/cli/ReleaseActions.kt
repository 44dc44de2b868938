package io.anvilvalve.cli

import io.anvilvalve.api.id.Incarnation
import io.anvilvalve.api.id.NoteId
import io.anvilvalve.api.port.LogService
import io.anvilvalve.api.release.Change
import io.anvilvalve.api.release.ReleaseNote
import io.anvilvalve.rules.release.NoteValidator
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonPrimitive
import kotlin.time.Duration

/** Commands that need only the log. */
internal class ReleaseActions(private val log: LogService, private val timeout: Duration) {
    /** Checks [note] against the release in force without publishing it. */
    suspend fun validate(note: ReleaseNote): Outcome = withLog { view ->
        val faults = NoteValidator.validate(note, view.release, view.snapshot.withdrawnKeys)
        if (faults.isEmpty()) {
            Outcome.ok(listOf("note ${note.id} is valid for release ${view.release.number}") + warnings(note, view))
        } else {
            Publisher.rejected(note, faults, view)
        }
    }

    /** Shows what [note] would change. */
    suspend fun diff(note: ReleaseNote): Outcome = withLog { view ->
        val lines = differences(note, view.release)
        Outcome.ok(lines.ifEmpty { listOf("no difference") }, mapOf("differences" to stringsJson(lines)))
    }

    suspend fun publish(note: ReleaseNote): Outcome = Publisher(log, timeout).publish(note)

    /** Lists the last [limit] notes of the retained log. */
    suspend fun history(limit: Int): Outcome = withLog { view ->
        val last = view.history.takeLast(limit)
        val lines = last.map {
            val result = if (it.isAccepted) "release ${it.release}" else "rejected, ${it.faults.size} faults"
            "${it.offset} ${it.note.id} by ${it.note.author}: ${it.note.changes.size} changes, $result"
        }
        Outcome.ok(
            lines.ifEmpty {
                listOf("the log has no notes")
            },
            mapOf("notes" to JsonArray(last.map(::decisionJson))),
        )
    }

    /** Declares that [incarnation] has ended; retries if another operator's note was accepted in between. */
    suspend fun hostGone(incarnation: Incarnation, author: String): Outcome {
        var outcome = publishHostGone(incarnation, author)
        repeat(MAX_CONFLICT_RETRIES) {
            if (outcome.exit == ExitCode.OUTDATED) outcome = publishHostGone(incarnation, author)
        }
        return outcome
    }

    /** The note id contains incarnation and release, so a retry after a lost response does not take effect twice. */
    private suspend fun publishHostGone(incarnation: Incarnation, author: String): Outcome {
        val view = LogReader(log).read().fold({ return Outcome.logUnavailable(it) }, { it })
        val change = Change.HostGone(incarnation)
        view.history.firstOrNull { it.isAccepted && change in it.note.changes }?.let {
            return Outcome.ok(listOf("$incarnation has been declared gone since release ${it.release}"))
        }
        val id = NoteId("host-gone-${incarnation.value}-${view.release.number}")
        return publish(ReleaseNote(id, view.release.number, author, listOf(change)))
    }

    private suspend fun withLog(action: (LogView) -> Outcome): Outcome =
        LogReader(log).read().fold({ Outcome.logUnavailable(it) }, action)

    private fun warnings(note: ReleaseNote, view: LogView): List<String> =
        note.changes.filterIsInstance<Change.PutKey>()
            .filter { it.key.hash in view.snapshot.withdrawnKeys }
            .map { "warning: key ${it.key.hash} was withdrawn and stays withdrawn" }

    private fun stringsJson(lines: List<String>) = JsonArray(lines.map { JsonPrimitive(it) })

    private companion object {
        const val MAX_CONFLICT_RETRIES = 5
    }
}
