package io.anvilvalve.api.release

import io.anvilvalve.api.id.NoteId
import io.anvilvalve.api.id.ReleaseNumber
import kotlinx.serialization.Serializable

/**
 * Changes that operators publish together; accepted or rejected as a whole.
 *
 * @property expectedPrevious release on which the changes are based; the note is rejected if a later release exists.
 */
@Serializable
data class ReleaseNote(
    val id: NoteId,
    val expectedPrevious: ReleaseNumber,
    val author: String,
    val changes: List<Change>,
)
