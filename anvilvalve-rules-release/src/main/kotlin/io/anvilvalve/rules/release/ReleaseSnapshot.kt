package io.anvilvalve.rules.release

import io.anvilvalve.api.id.ClaimId
import io.anvilvalve.api.id.KeyHash
import io.anvilvalve.api.id.NoteId
import io.anvilvalve.api.release.Release
import kotlinx.serialization.Serializable

/**
 * State of the release rules as of a log offset.
 *
 * @property release release that results from the accepted notes, without the withdrawn keys.
 * @property withdrawnKeys keys whose withdrawal is in the log.
 * @property heardWithdrawals keys whose withdrawal the writer received from peers or operators and had not yet read
 *   from the log.
 * @property appliedNotes ids of the most recently accepted notes, oldest first.
 * @property rejectedNotes ids of the most recently rejected notes, oldest first.
 * @property claims winning claims with their replies.
 * @property abandonedClaims claims that can never win, with their ages in milliseconds.
 * @property orderLease newest lease for issuing engine orders.
 */
@Serializable
data class ReleaseSnapshot(
    val release: Release = Release(),
    val withdrawnKeys: Set<KeyHash> = emptySet(),
    val appliedNotes: List<NoteId> = emptyList(),
    val rejectedNotes: List<NoteId> = emptyList(),
    val claims: List<KeptClaim> = emptyList(),
    val abandonedClaims: Map<ClaimId, Long> = emptyMap(),
    val orderLease: KeptLease? = null,
    val heardWithdrawals: Set<KeyHash> = emptySet(),
)
