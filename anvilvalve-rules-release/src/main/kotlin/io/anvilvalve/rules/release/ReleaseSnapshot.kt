package io.anvilvalve.rules.release

import io.anvilvalve.api.id.KeyHash
import io.anvilvalve.api.id.NoteId
import io.anvilvalve.api.release.Release
import kotlinx.serialization.Serializable

/** State of the release rules as of a log offset. */
@Serializable
data class ReleaseSnapshot(
    val release: Release = Release(),
    val withdrawnKeys: Set<KeyHash> = emptySet(),
    val appliedNotes: List<NoteId> = emptyList(),
)
