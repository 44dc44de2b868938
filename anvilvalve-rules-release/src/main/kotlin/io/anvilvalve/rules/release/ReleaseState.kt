package io.anvilvalve.rules.release

import io.anvilvalve.api.id.KeyHash
import io.anvilvalve.api.id.NoteId
import io.anvilvalve.api.release.Change
import io.anvilvalve.api.release.Release
import io.anvilvalve.api.release.ReleaseNote

/** Release defined by the log; identical on all hosts that have applied the same offset. */
internal class ReleaseState {
    var release = Release()
        private set
    private val withdrawn = mutableSetOf<KeyHash>()

    val withdrawnKeys: Set<KeyHash> get() = withdrawn

    private val applied = RecentNotes()
    private val rejected = RecentNotes()

    /** Accepts or rejects [note]; ignores a note whose id was already accepted or rejected. */
    fun apply(note: ReleaseNote): List<ReleaseEffect> {
        if (note.id in applied || note.id in rejected) return emptyList()
        val faults = NoteValidator.validate(note, release, withdrawn)
        if (faults.isNotEmpty()) {
            rejected.add(note.id)
            return listOf(ReleaseEffect.NoteRejected(note.id, release.number, faults))
        }
        applied.add(note.id)
        withdrawn += note.changes.filterIsInstance<Change.WithdrawKey>().map { it.hash }
        release = release.applying(note, withdrawn)
        return note.changes.filterIsInstance<Change.HostGone>().map { ReleaseEffect.DeclaredGone(it.incarnation) }
    }

    /** Removes a key permanently; later notes cannot add it again. */
    fun withdraw(hash: KeyHash) {
        withdrawn += hash
        if (hash in release.keys) release = release.copy(keys = release.keys - hash)
    }

    /** Replaces the state with that of a later snapshot; withdrawals already known are retained. */
    fun restore(state: ReleaseSnapshot) {
        release = state.release
        withdrawn += state.withdrawnKeys
        applied.replace(state.appliedNotes)
        rejected.replace(state.rejectedNotes)
    }

    fun snapshot(): ReleaseSnapshot = ReleaseSnapshot(
        release = release,
        withdrawnKeys = withdrawn.toSet(),
        appliedNotes = applied.toList(),
        rejectedNotes = rejected.toList(),
    )
}

/** Ids of the most recent notes; older duplicates are rejected because they expect an older release. */
internal class RecentNotes {
    private val ids = LinkedHashSet<NoteId>()

    operator fun contains(id: NoteId): Boolean = id in ids

    fun add(id: NoteId) {
        ids += id
        if (ids.size > CAPACITY) ids.remove(ids.first())
    }

    fun replace(others: List<NoteId>) {
        ids.clear()
        ids += others
    }

    fun toList(): List<NoteId> = ids.toList()

    private companion object {
        /** Covers about two hours of notes at the target size. */
        const val CAPACITY = 8_192
    }
}
