package io.anvilvalve.rules.release

import io.anvilvalve.api.id.KeyHash
import io.anvilvalve.api.log.LogCodec
import io.anvilvalve.api.log.LogRecord
import io.anvilvalve.api.release.Change
import io.anvilvalve.api.release.Release
import io.anvilvalve.api.release.ReleaseNote

/**
 * Finds all faults of a release note at once.
 *
 * The result depends only on the note and the log up to the note, so all hosts reach the same decision.
 */
object NoteValidator {
    /** Upper bound on the encoded size of a note in bytes; a note must fit into a peer's reply of 256 KB. */
    const val MAX_NOTE_BYTES: Int = 240 * 1024

    /**
     * Returns the faults of [note] relative to [current], empty if valid; keys in [withdrawn] may be withdrawn again.
     */
    fun validate(note: ReleaseNote, current: Release, withdrawn: Set<KeyHash> = emptySet()): List<NoteFault> {
        val after = current.applying(note, withdrawn)
        return (
            noteFaults(note, current) +
                duplicates(note) +
                unknownWithdrawals(note, current, withdrawn) +
                note.faultsPerChange { ValueRules.faults(it) } +
                note.faultsPerChange { ReferenceRules.faultsOfPut(it, after) } +
                ReferenceRules.faultsOfWithdrawals(note, after) +
                AddressRules.faults(note, after)
            ).distinct().sortedBy { it.change }
    }

    private fun noteFaults(note: ReleaseNote, current: Release): List<NoteFault> = buildList {
        if (note.expectedPrevious != current.number) {
            add("the note expects release ${note.expectedPrevious}, but release ${current.number} is in force")
        }
        if (!ValueRules.isName(note.id.value)) add("the id must be ${ValueRules.NAME_RULE}")
        if (note.author.isBlank() || note.author.length > ValueRules.MAX_NAME) add("the author is blank or too long")
        if (note.changes.isEmpty()) add("the note has no changes")
        if (LogCodec.encode(LogRecord.Note(note)).size > MAX_NOTE_BYTES) {
            add("the note is larger than $MAX_NOTE_BYTES bytes; split it")
        }
    }.map { NoteFault(0, it) }

    private fun duplicates(note: ReleaseNote): List<NoteFault> {
        val first = mutableMapOf<Subject, Int>()
        return note.changes.withIndex()
            .mapNotNull { (index, change) ->
                first.putIfAbsent(change.subject, index + 1)
                    ?.let { NoteFault(index + 1, "${change.subject} is already the subject of change $it") }
            }
    }

    private fun unknownWithdrawals(note: ReleaseNote, current: Release, withdrawn: Set<KeyHash>): List<NoteFault> =
        note.faultsPerChange { change ->
            val known = when (change) {
                is Change.WithdrawBackendServer -> change.id in current.servers
                is Change.WithdrawModel -> change.id in current.models
                is Change.WithdrawAdapter -> change.id in current.adapters
                is Change.WithdrawOrganisation -> change.id in current.organisations
                is Change.WithdrawKey -> change.hash in current.keys || change.hash in withdrawn
                is Change.WithdrawRoute -> change.id in current.routes
                else -> true
            }
            if (known) emptyList() else listOf("${change.subject} is not in release ${current.number}")
        }
}

/** Runs [check] on each change and returns the faults with the position of their change. */
internal fun ReleaseNote.faultsPerChange(check: (Change) -> List<String>): List<NoteFault> =
    changes.flatMapIndexed { index, change -> check(change).map { NoteFault(index + 1, it) } }
