package io.anvilvalve.api.release

import io.anvilvalve.api.id.NoteId
import io.anvilvalve.api.id.ReleaseNumber
import kotlinx.serialization.Serializable

/**
 * Changes that operators publish together; accepted or rejected as a whole.
 *
 * @property expectedPrevious release that the operator saw; the note is rejected when another note came between.
 */
@Serializable
data class ReleaseNote(
    val id: NoteId,
    val expectedPrevious: ReleaseNumber,
    val author: String,
    val changes: List<Change>,
)
